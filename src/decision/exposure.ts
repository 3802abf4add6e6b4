/**
 * Selects the keys that a roll-out exposes to its new version. A key is a
 * session's path, or a request's id outside sessions. Each key is hashed to a
 * number in [0, 1) and compared with the exposure share, so all VMs with the
 * same revision agree without communicating, and a key that is exposed at one
 * step stays exposed at the next.
 */
import { hashShare, type RolloutPlan, type VersionName } from "../model/mod.ts";
import { type ControlState, type RolloutProgress } from "../state/mod.ts";
import { type LocalStops } from "./local_stops.ts";

/** Share of keys that a roll-out exposes at its current step. */
export function exposureShareOf(
  plan: RolloutPlan,
  progress: RolloutProgress | undefined,
): number {
  if (progress === undefined) return 0;
  if (progress.step.version !== plan.version) return 0;
  switch (progress.step.verdict) {
    case "start":
    case "advance":
      return plan.stepShares[progress.step.stepIndex] ?? 0;
    case "complete":
      return 1;
    case "withdraw":
      return 0;
  }
}

/** Whether a roll-out exposes the key at the given exposure share. */
export function isExposed(
  plan: RolloutPlan,
  options: { readonly key: string; readonly exposureShare: number },
): boolean {
  const share = hashShare(`${plan.name} ${plan.version} ${options.key}`);
  return share < options.exposureShare;
}

/**
 * Whether the newest roll-out step of a version is a withdrawal, or this VM has
 * stopped the version.
 */
export function isWithdrawnOrStopped(
  version: VersionName,
  options: {
    readonly control: ControlState;
    readonly localStops: LocalStops;
  },
): boolean {
  if (options.localStops.has(version)) return true;
  let newest: RolloutProgress | undefined;
  for (const progress of options.control.rollouts.values()) {
    if (progress.step.version !== version) continue;
    if (progress.position > (newest?.position ?? -1)) newest = progress;
  }
  return newest?.step.verdict === "withdraw";
}
