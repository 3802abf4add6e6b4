/**
 * A roll-out that the operators ordered, from the order to its limit. In the
 * first half a small share of the sessions runs on the target, so that a bad
 * one is seen before it does harm and few sessions meet both versions. In the
 * second half the share rises to all, and the roll-out is complete when nothing
 * runs on another version any more. A target found bad gets nothing from then
 * on.
 */
import { type RolloutOrder, type RolloutStage } from "../model/mod.ts";

/** Of the exposure that the operators allow, what a canary takes. */
const CANARY_PART = 0.5;
/** The share of all sessions, by the part of the time that has passed. */
const RAMP: readonly { readonly fromPart: number; readonly share: number }[] = [
  { fromPart: 0.66, share: 1 },
  { fromPart: 0.6, share: 0.5 },
  { fromPart: 0.53, share: 0.25 },
];
/** From here on the roll-out may be completed. */
const COMPLETE_FROM_PART = 0.7;
/** From here on it is completed whatever still runs on the other version. */
const COMPLETE_AT_PART = 0.88;

/** What is known of a roll-out. */
export interface OrderedRollout {
  readonly order: RolloutOrder;
  /** When the order was given, on this VM's clock. */
  readonly startedAtMs: number;
  /** Why the target is bad; absent while it is not. */
  readonly fault: string | undefined;
  /** What stands in the store, as far as is known. */
  readonly stage: RolloutStage | undefined;
}

/** What is to be written next. */
export type DueStage = RolloutStage | undefined;

/** Whether a roll-out is over, one way or the other. */
export function isEnded(stage: RolloutStage | undefined): boolean {
  return stage === "completed" || stage === "reverted";
}

/** The part of its time that a roll-out has used. */
export function elapsedShare(rollout: OrderedRollout, nowMs: number): number {
  return (nowMs - rollout.startedAtMs) / rollout.order.durationMs;
}

/** The share of sessions that run on the target. */
export function targetSessionShare(
  rollout: OrderedRollout,
  options: { readonly nowMs: number; readonly canaryShare: number },
): number {
  const { stage, fault } = rollout;
  if (stage === "completed") return 1;
  if (stage === "reverted" || fault !== undefined) return 0;
  const part = elapsedShare(rollout, options.nowMs);
  for (const { fromPart, share } of RAMP) if (part >= fromPart) return share;
  return options.canaryShare * CANARY_PART;
}

/** Whether sessions keep to the version that they are on. */
export function isCanaryPhase(rollout: OrderedRollout, nowMs: number): boolean {
  return rollout.stage !== "completed" &&
    elapsedShare(rollout, nowMs) < (RAMP.at(-1)?.fromPart ?? 0.5);
}

/** The stage to write, if one is due. */
export function dueStage(
  rollout: OrderedRollout,
  options: { readonly nowMs: number; readonly otherInFlightCount: number },
): DueStage {
  const { stage, fault } = rollout;
  if (isEnded(stage)) return undefined;
  if (fault !== undefined) return "reverted";
  const part = elapsedShare(rollout, options.nowMs);
  const isEmpty = options.otherInFlightCount === 0;
  if (part >= COMPLETE_AT_PART) return "completed";
  if (part >= COMPLETE_FROM_PART && isEmpty) return "completed";
  return stage === undefined ? "active" : undefined;
}
