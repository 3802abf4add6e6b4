/** Faults between entry VMs and the platform's log. */
import { assertAllComplete, testFaults } from "./fault_case.ts";

testFaults(
  { deployment: "kavango", faults: ["none"], seed: 1 },
  assertAllComplete,
);
testFaults({ deployment: "kavango", faults: ["log_down"], seed: 2 });
testFaults({ deployment: "kavango", faults: ["log_slow"], seed: 3 });
testFaults(
  { deployment: "kavango", faults: ["append_reply_lost"], seed: 4 },
  assertAllComplete,
);
testFaults({
  deployment: "tullagh",
  faults: ["append_reply_lost", "vm_killed"],
  seed: 5,
});
testFaults({
  deployment: "tullagh",
  faults: ["log_down", "vm_killed"],
  seed: 6,
});
testFaults({
  deployment: "kavango",
  faults: ["log_slow", "append_reply_lost"],
  seed: 7,
});
