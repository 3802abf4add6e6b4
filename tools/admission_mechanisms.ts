/** The mechanisms of fleet-wide admission. */
import { type Mechanism } from "./mechanism.ts";

const DECISION_TEST = "src/decision/fleet_admission_test.ts";
const GATE_TEST = "src/gateway/admission/admission_gate_test.ts";

export const ADMISSION_MECHANISMS: readonly Mechanism[] = [
  {
    name: "wait for a free slot",
    file: "src/gateway/forwarding/forwarding.ts",
    source: "this.#ticket = this.#context.admission.enter(",
    replacement:
      "this.#startAttempt();\n    if (this.#ticket) this.#ticket = this.#context.admission.enter(",
    tests: ["src/gateway/admission/overload_test.ts"],
  },
  {
    name: "refusal of what would be late",
    file: "src/decision/fleet_admission_refusal.ts",
    source: "if (startAtMs + view.holdMs > request.deadlineAtMs) return true;",
    replacement: "",
    tests: [DECISION_TEST],
  },
  {
    name: "fair share of the fleet goes first",
    file: "src/decision/fleet_admission_order.ts",
    source: "Number(b.isBelowShare) - Number(a.isBelowShare) ||",
    replacement: "",
    tests: [DECISION_TEST],
  },
  {
    name: "returns by the rate of starts",
    file: "src/decision/admission_returns.ts",
    source: "? returns.nextAtMs.set(workspace, nextAtMs + stepMs)",
    replacement: "? returns.nextAtMs.set(workspace, nextAtMs + 0 * stepMs)",
    tests: [DECISION_TEST],
  },
  {
    name: "starts by the pressure at other VMs",
    file: "src/decision/fleet_admission.ts",
    source: "if (!hasPressure(others)) return freeCount >= 1;",
    replacement: "if (hasPressure(others)) return freeCount >= 1;",
    tests: [GATE_TEST],
  },
  {
    name: "end of a wait whose caller has gone",
    file: "src/gateway/admission/service_queue.ts",
    source: "const isWaiting = this.#waiting.delete(requestId);",
    replacement: "const isWaiting = this.#waiting.has(`${requestId} `);",
    tests: [GATE_TEST],
  },
  {
    name: "each VM counted once in reports of use",
    file: "src/gateway/admission/use_reports.ts",
    source: 'const key = report.scope === "rest" ? "rest" : teller;',
    replacement: "const key = `${teller} ${report.services.length} ${atMs}`;",
    tests: ["src/gateway/admission/use_reports_test.ts"],
  },
  {
    name: "stale reports of use count as unknown",
    file: "src/gateway/admission/use_reports.ts",
    source: "return this.#clock() - atMs <= MAX_AGE_MS;",
    replacement: "return atMs <= Infinity && MAX_AGE_MS > 0;",
    tests: ["src/gateway/admission/use_reports_test.ts"],
  },
];
