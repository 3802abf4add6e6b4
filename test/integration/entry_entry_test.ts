/** Faults between entry VMs, and VMs that are killed or paused. */
import { assertAllComplete, testFaults } from "./fault_case.ts";

testFaults(
  { deployment: "kavango", faults: ["peers_parted"], seed: 31 },
  assertAllComplete,
);
testFaults({ deployment: "tullagh", faults: ["region_parted"], seed: 32 });
testFaults({ deployment: "kavango", faults: ["vm_killed"], seed: 33 });
testFaults({ deployment: "tullagh", faults: ["vm_paused"], seed: 34 });
testFaults({
  deployment: "kavango",
  faults: ["peers_parted", "log_down"],
  seed: 35,
});
testFaults({
  deployment: "tullagh",
  faults: ["vm_paused", "append_reply_lost"],
  seed: 36,
});
testFaults({
  deployment: "kavango",
  faults: ["region_parted", "vm_killed"],
  seed: 37,
});
