/** Faults between entry VMs and backend servers. */
import { assertAllComplete, testFaults } from "./fault_case.ts";

testFaults(
  { deployment: "tullagh", faults: ["frames_crossed"], seed: 11 },
  assertAllComplete,
);
testFaults(
  { deployment: "kavango", faults: ["frames_repeated"], seed: 12 },
  assertAllComplete,
);
testFaults({ deployment: "kavango", faults: ["engine_silent"], seed: 13 });
testFaults({ deployment: "tullagh", faults: ["engine_reset"], seed: 14 });
testFaults({ deployment: "tullagh", faults: ["connections_silent"], seed: 15 });
testFaults({ deployment: "kavango", faults: ["service_dies"], seed: 16 });
testFaults({ deployment: "kavango", faults: ["pool_out"], seed: 17 });
testFaults({ deployment: "tullagh", faults: ["server_leaves"], seed: 18 });
testFaults({
  deployment: "kavango",
  faults: ["frames_crossed", "engine_reset"],
  seed: 19,
});
testFaults({
  deployment: "tullagh",
  faults: ["engine_silent", "log_down"],
  seed: 20,
});
testFaults({
  deployment: "kavango",
  faults: ["pool_out", "bad_version"],
  seed: 21,
});
