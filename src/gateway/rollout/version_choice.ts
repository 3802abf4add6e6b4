/**
 * Whether a request runs on the target of a roll-out: by the servers that are
 * ready, the roll-out's stage and the hash of its session, so that all VMs with
 * the same view choose the same.
 */
import {
  isEnded,
  isLoadTrial,
  keepsSessions,
  loadTrialQuota,
  targetShare,
} from "../../decision/mod.ts";
import { type Clock, hashShare } from "../../model/mod.ts";
import {
  type VersionReason,
  type VersionSession,
} from "../forwarding/forward_context.ts";
import { type BackendFleet } from "../servers/backend_fleet.ts";
import { type RolloutRecord } from "./rollout_record.ts";

/** What a VM knows beside the roll-out. */
export interface VersionChoiceContext {
  readonly session: VersionSession;
  readonly fleet: BackendFleet;
  readonly canarySlackCount: number;
  readonly vm: string;
  readonly vmCount: () => number | undefined;
  readonly isEvacuated?: (place: string) => boolean;
  readonly clock: Clock;
}

export interface VersionChoice {
  readonly isOnTarget: boolean;
  readonly reason: VersionReason;
}

/** Chooses for one request, and counts it where a quota applies. */
export function chooseVersion(
  rollout: RolloutRecord,
  context: VersionChoiceContext,
): VersionChoice {
  const { service, target } = rollout.order;
  const { session, fleet, isEvacuated = (): boolean => false } = context;
  const { allowsPlace = (): boolean => true } = session;
  // Other versions count also in evacuated data centres, as an evacuation must
  // not raise the target's share.
  const ready = fleet.readyVersionsOf(service, allowsPlace);
  const hasOthers = [...ready].some((version) => version !== target);
  if (!hasOthers) {
    const isHeld = session.isMultiRequest &&
      !isChosenSession(rollout, context) &&
      [...fleet.recentVersionsOf(service, allowsPlace)]
        .some((version) => version !== target);
    return isHeld
      ? { isOnTarget: false, reason: "session_held" }
      : { isOnTarget: rollout.fault === undefined, reason: "only_target" };
  }
  const isOpen = (place: string): boolean =>
    allowsPlace(place) && !isEvacuated(place);
  if (!fleet.readyVersionsOf(service, isOpen).has(target)) {
    const isHeld = !isEnded(rollout.stage) &&
      isChosenSession(rollout, context) &&
      fleet.recentVersionsOf(service, isOpen).has(target);
    return isHeld
      ? { isOnTarget: true, reason: "session_held" }
      : { isOnTarget: false, reason: "no_target" };
  }
  const { isMultiRequest, failedVersion } = session;
  const hasFailed = failedVersion === target && !isEnded(rollout.stage);
  // A session of several requests keeps its version after a failed one.
  if (hasFailed && !isMultiRequest) {
    return { isOnTarget: false, reason: "failed_on_target" };
  }
  if (!rollout.isStageKnown && rollout.stage !== "completed") {
    return { isOnTarget: false, reason: "stage_unknown" };
  }
  return chooseByShare(rollout, context);
}

function chooseByShare(
  rollout: RolloutRecord,
  context: VersionChoiceContext,
): VersionChoice {
  const { key, isMultiRequest, failedVersion } = context.session;
  const nowMs = context.clock();
  const share = targetShare(rollout, nowMs);
  if (share === 0) return { isOnTarget: false, reason: "reverted" };
  if (share === 1) {
    const isCompleted = rollout.stage === "completed";
    return {
      isOnTarget: true,
      reason: isCompleted ? "completed" : "last_phase",
    };
  }
  const isChosen = hashShare(`${rollout.order.target} ${key}`) < share;
  const isRetry = failedVersion !== undefined;
  if (isMultiRequest) {
    if (!keepsSessions(rollout, nowMs)) {
      return { isOnTarget: isChosen, reason: "share" };
    }
    if (isChosen && !isRetry) rollout.freePlaceCount += 1;
    return { isOnTarget: false, reason: "session_kept" };
  }
  if (joinsLoadTrial(rollout, context)) {
    return { isOnTarget: true, reason: "load_trial" };
  }
  if (isChosen || isRetry || rollout.freePlaceCount === 0) {
    return { isOnTarget: isChosen, reason: "share" };
  }
  rollout.freePlaceCount -= 1;
  return { isOnTarget: true, reason: "free_place" };
}

/**
 * Whether a session runs on the target now, by its hash and the time alone. It
 * waits for servers that were there a moment ago: elsewhere it would change its
 * version, and change it again when they are back.
 */
function isChosenSession(
  rollout: RolloutRecord,
  { session: { key, isMultiRequest }, clock }: VersionChoiceContext,
): boolean {
  if (!isMultiRequest) return false;
  const nowMs = clock();
  const share = keepsSessions(rollout, nowMs) ? 0 : targetShare(rollout, nowMs);
  return hashShare(`${rollout.order.target} ${key}`) < share;
}

/** Whether a request of no session is part of the load trial; counts it. */
function joinsLoadTrial(
  rollout: RolloutRecord,
  { clock, canarySlackCount, vm, vmCount }: VersionChoiceContext,
): boolean {
  if (!isLoadTrial(rollout, clock())) return false;
  const { service, offset } = rollout.order;
  const quota = loadTrialQuota({
    slackCount: canarySlackCount,
    vmCount: vmCount(),
    vmHashShare: hashShare(`${service} ${offset} ${vm}`),
  });
  if (rollout.loadTrialCount >= quota) return false;
  rollout.loadTrialCount += 1;
  return true;
}
