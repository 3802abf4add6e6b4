/**
 * Decides whether an answer is replaced by one from a better version. A rating
 * below the target escalates while deadline and budget allow. If the rating
 * service is slow or down, the answer of a trusted version is relayed unrated;
 * an unrated answer escalates only if its version was not trusted to meet the
 * target. Budget pressure skips optional escalations, small shortfalls before
 * large ones. It never lowers the target, so required escalations still run.
 */

/** Time that must remain before the deadline after an escalation. */
const DEADLINE_SLACK_MS = 50;

/** Inputs of the decision on one answer. */
export interface EscalationInput {
  /** Absent if the rating service returned none in time. */
  readonly scoreShare: number | undefined;
  readonly targetShare: number;
  readonly escalation: "none" | "optional" | "required";
  readonly deadlineLeftMs: number;
  /** Expected time of a complete answer from the next version. */
  readonly expectedMs: number;
  /** Budget pressure of the workspace, from 0 (none) to 1. */
  readonly budgetPressureShare: number;
}

/** The decision, with the reason if the answer is not replaced. */
export type EscalationVerdict =
  | "escalate"
  | "no_version_left"
  | "met_target"
  | "unrated"
  | "deadline"
  | "budget";

/** Returns `escalate`, or the reason not to run the plan's next version. */
export function escalationVerdict(input: EscalationInput): EscalationVerdict {
  if (input.escalation === "none") return "no_version_left";
  if (input.scoreShare === undefined && input.escalation === "optional") {
    return "unrated";
  }
  const shortfall = input.targetShare - (input.scoreShare ?? 0);
  if (input.scoreShare !== undefined && shortfall <= 0) return "met_target";
  if (input.deadlineLeftMs < input.expectedMs + DEADLINE_SLACK_MS) {
    return "deadline";
  }
  if (input.escalation === "required") return "escalate";
  return isWorthwhile(input, shortfall) ? "escalate" : "budget";
}

/** Whether the answer is replaced by one from the next version of the plan. */
export function shouldEscalate(input: EscalationInput): boolean {
  return escalationVerdict(input) === "escalate";
}

function isWorthwhile(input: EscalationInput, shortfall: number): boolean {
  return shortfall / input.targetShare >= input.budgetPressureShare;
}
