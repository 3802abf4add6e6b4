/** Faults between callers and entry VMs. */
import { testFaults } from "./fault_case.ts";

testFaults({ deployment: "kavango", faults: ["callers_cut"], seed: 41 });
testFaults({
  deployment: "tullagh",
  faults: ["callers_cut", "frames_crossed"],
  seed: 42,
});
testFaults({
  deployment: "tullagh",
  faults: ["callers_cut", "log_down"],
  seed: 43,
});
