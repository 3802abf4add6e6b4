/** Tests of the escalation decision in a cascade. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type EscalationInput,
  type EscalationVerdict,
  escalationVerdict,
} from "./cascade.ts";

function verdictOf(changes: Partial<EscalationInput>): EscalationVerdict {
  return escalationVerdict({
    scoreShare: 0.5,
    targetShare: 0.8,
    escalation: "optional",
    deadlineLeftMs: 10_000,
    expectedMs: 1000,
    budgetPressureShare: 0,
    ...changes,
  });
}

test("an answer below the target escalates while the deadline allows", () => {
  assert.equal(verdictOf({}), "escalate");
  assert.equal(verdictOf({ scoreShare: 0.8 }), "met_target");
  assert.equal(verdictOf({ deadlineLeftMs: 1000 }), "deadline");
  assert.equal(verdictOf({ escalation: "none" }), "no_version_left");
});

test("an unrated answer is relayed if its version is trusted, else escalated", () => {
  assert.equal(verdictOf({ scoreShare: undefined }), "unrated");
  const required = verdictOf({ scoreShare: undefined, escalation: "required" });
  assert.equal(required, "escalate");
});

test("budget pressure skips small shortfalls first, never required ones", () => {
  assert.equal(verdictOf({ budgetPressureShare: 0.2 }), "escalate");
  assert.equal(verdictOf({ budgetPressureShare: 0.5 }), "budget");
  assert.equal(
    verdictOf({ budgetPressureShare: 0.5, scoreShare: 0.1 }),
    "escalate",
  );
  assert.equal(
    verdictOf({ budgetPressureShare: 1, escalation: "required" }),
    "escalate",
  );
});
