/**
 * A roll-out ordered by the operators, with a time limit. In the canary phase a
 * small share of the requests runs on the target version, so that a bad target
 * is detected early; in the first half of the time these are requests that name
 * no session, so that no session changes its version. All requests run on the
 * target only for as long before the limit as the allowed exposure lasts: a bad
 * target keeps to it by then, also one whose fault nobody has noticed. From the
 * first fault on, the target's share is 0. The roll-out is completed once no
 * request runs on another version, or shortly before the limit.
 */
import { type RolloutOrder, type RolloutStage } from "../model/mod.ts";

/** Share of the allowed exposure at which the canary phase runs. */
const CANARY_USE_SHARE = 0.5;
/** Elapsed share up to which sessions keep the version that they had. */
const SESSIONS_KEPT_UNTIL_SHARE = 0.5;
/** Elapsed share from which the target is tried under load. */
const LOAD_TRIAL_FROM_SHARE = 0.4;
/** How long before the last phase its beginning is decided, as a share of it. */
const DECISION_LEAD_SHARE = 0.75;
/** Elapsed share of the last phase from which an empty roll-out completes. */
const COMPLETE_IF_EMPTY_FROM_SHARE = 0.55;
/** Elapsed share from which it completes even if other versions still run. */
const COMPLETE_FROM_SHARE = 0.65;

/** The state of a roll-out on this VM. */
export interface OrderedRollout {
  readonly order: RolloutOrder;
  /** Share of the requests within the limit that a bad target may get. */
  readonly canaryShare: number;
  /** Time of the order, on this VM's clock. */
  readonly startedAtMs: number;
  /** Reason why the target is bad; absent if it is not. */
  readonly fault: string | undefined;
  /** Newest stage read from the store. */
  readonly stage: RolloutStage | undefined;
}

/** The stage to write next, if any. */
export type DueStage = RolloutStage | undefined;

/** Whether the roll-out is completed or reverted. */
export function isEnded(stage: RolloutStage | undefined): boolean {
  return stage === "completed" || stage === "reverted";
}

/** Elapsed share of the roll-out's duration; above 1 after its limit. */
export function elapsedShare(rollout: OrderedRollout, nowMs: number): number {
  return (nowMs - rollout.startedAtMs) / rollout.order.durationMs;
}

/** Share of the requests that run on the target. */
export function targetShare(
  rollout: OrderedRollout,
  nowMs: number,
): number {
  const { stage, fault } = rollout;
  if (stage === "completed") return 1;
  if (stage === "reverted" || fault !== undefined) return 0;
  return elapsedShare(rollout, nowMs) < canaryUntilShare(rollout)
    ? canaryUseOf(rollout)
    : 1;
}

/** Whether sessions keep the version that they had before the order. */
export function keepsSessions(rollout: OrderedRollout, nowMs: number): boolean {
  return rollout.stage !== "completed" &&
    elapsedShare(rollout, nowMs) < SESSIONS_KEPT_UNTIL_SHARE;
}

/** Whether the target is tried under load and no fault has been found. */
export function isLoadTrial(rollout: OrderedRollout, nowMs: number): boolean {
  return rollout.fault === undefined && !isEnded(rollout.stage) &&
    elapsedShare(rollout, nowMs) >= LOAD_TRIAL_FROM_SHARE;
}

/** Whether it has to be decided if all requests may run on the target. */
export function isDecisionDue(rollout: OrderedRollout, nowMs: number): boolean {
  const canaryUntil = canaryUntilShare(rollout);
  const leadShare = DECISION_LEAD_SHARE * (1 - canaryUntil);
  return elapsedShare(rollout, nowMs) >= canaryUntil - leadShare;
}

/** Returns the stage to write now, if any. */
export function dueStage(
  rollout: OrderedRollout,
  options: { readonly nowMs: number; readonly otherInFlightCount: number },
): DueStage {
  const { stage, fault } = rollout;
  if (isEnded(stage)) return undefined;
  if (fault !== undefined) return "reverted";
  const isEmpty = options.otherInFlightCount === 0;
  const dueFromShare = isEmpty
    ? COMPLETE_IF_EMPTY_FROM_SHARE
    : COMPLETE_FROM_SHARE;
  const canaryUntil = canaryUntilShare(rollout);
  const completeFrom = canaryUntil + dueFromShare * (1 - canaryUntil);
  if (elapsedShare(rollout, options.nowMs) >= completeFrom) return "completed";
  return stage === undefined ? "active" : undefined;
}

function canaryUseOf({ canaryShare }: OrderedRollout): number {
  return canaryShare * CANARY_USE_SHARE;
}

/** Elapsed share from which the allowed exposure lasts until the limit. */
function canaryUntilShare(rollout: OrderedRollout): number {
  return (1 - rollout.canaryShare) / (1 - canaryUseOf(rollout));
}
