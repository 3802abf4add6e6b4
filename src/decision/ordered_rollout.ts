/**
 * A roll-out ordered by the operators, with a time limit. In the canary phase,
 * about the first half, a small share of the sessions runs on the target
 * version, so that a bad target is detected early and few sessions use both
 * versions. Then the share rises to 1. The roll-out is completed once no
 * request runs on another version, or shortly before the limit. From the first
 * fault on, the target's share is 0.
 */
import { type RolloutOrder, type RolloutStage } from "../model/mod.ts";

/** Share of the allowed canary exposure that is used. */
const CANARY_USE_SHARE = 0.5;
/** Share of sessions on the target, by elapsed share of the duration. */
const RAMP: readonly {
  readonly fromElapsedShare: number;
  readonly share: number;
}[] = [
  { fromElapsedShare: 0.66, share: 1 },
  { fromElapsedShare: 0.6, share: 0.5 },
  { fromElapsedShare: 0.53, share: 0.25 },
];
/** Elapsed share from which the roll-out completes if no other version runs. */
const COMPLETE_IF_EMPTY_FROM_SHARE = 0.7;
/** Elapsed share from which it completes even if other versions still run. */
const COMPLETE_FROM_SHARE = 0.88;

/** The state of a roll-out on this VM. */
export interface OrderedRollout {
  readonly order: RolloutOrder;
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

/** Share of sessions that run on the target. */
export function targetSessionShare(
  rollout: OrderedRollout,
  options: { readonly nowMs: number; readonly canaryShare: number },
): number {
  const { stage, fault } = rollout;
  if (stage === "completed") return 1;
  if (stage === "reverted" || fault !== undefined) return 0;
  const elapsed = elapsedShare(rollout, options.nowMs);
  for (const { fromElapsedShare, share } of RAMP) {
    if (elapsed >= fromElapsedShare) return share;
  }
  return options.canaryShare * CANARY_USE_SHARE;
}

/** Whether the canary phase runs, in which sessions stay on their version. */
export function isCanaryPhase(rollout: OrderedRollout, nowMs: number): boolean {
  return rollout.stage !== "completed" &&
    elapsedShare(rollout, nowMs) < (RAMP.at(-1)?.fromElapsedShare ?? 0.5);
}

/** Returns the stage to write now, if any. */
export function dueStage(
  rollout: OrderedRollout,
  options: { readonly nowMs: number; readonly otherInFlightCount: number },
): DueStage {
  const { stage, fault } = rollout;
  if (isEnded(stage)) return undefined;
  if (fault !== undefined) return "reverted";
  const elapsed = elapsedShare(rollout, options.nowMs);
  const isEmpty = options.otherInFlightCount === 0;
  if (elapsed >= COMPLETE_FROM_SHARE) return "completed";
  if (elapsed >= COMPLETE_IF_EMPTY_FROM_SHARE && isEmpty) return "completed";
  return stage === undefined ? "active" : undefined;
}
