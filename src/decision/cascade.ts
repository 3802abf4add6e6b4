/**
 * Whether an answer is replaced by one of a better version. A rating that falls
 * short escalates while deadline and budget allow. Without a rating, because
 * the rating service is slow or down, the answer of a trusted version is
 * relayed as it is; only an answer of a version that was never trusted to meet
 * the target is escalated unrated. Budget pressure gives up optional
 * escalations first, the cheapest shortfalls before the worst; it never lowers
 * the target, so required escalations stay.
 */

/** Slack that an escalation must leave in the deadline. */
const DEADLINE_SLACK_MS = 50;

/** What the decision on one answer depends on. */
export interface EscalationInput {
  /** Absent when the rating service gave none in time. */
  readonly scoreShare: number | undefined;
  readonly targetShare: number;
  readonly escalation: "none" | "optional" | "required";
  readonly deadlineLeftMs: number;
  /** Expected time of a whole answer from the next version. */
  readonly expectedMs: number;
  /** Spend rate over what the workspace's budget allows, from 0 to 1. */
  readonly budgetPressureShare: number;
}

/** Why an answer is or is not replaced. */
export type EscalationVerdict =
  | "escalate"
  | "no_version_left"
  | "met_target"
  | "unrated"
  | "deadline"
  | "budget";

/** Decides whether the next version of the plan should answer in its place. */
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

/** Whether the next version of the plan should answer in its place. */
export function shouldEscalate(input: EscalationInput): boolean {
  return escalationVerdict(input) === "escalate";
}

function isWorthwhile(input: EscalationInput, shortfall: number): boolean {
  return shortfall / input.targetShare >= input.budgetPressureShare;
}
