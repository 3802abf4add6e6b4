/**
 * The load trial of a roll-out's target: some requests are sent to it at one
 * time, and its servers are filled one after the other instead of evenly. So a
 * fault that shows only under load shows while few requests have met it. The
 * requests are those that a bad target may get beyond its share, divided among
 * the VMs.
 */
import { hashShare } from "../model/mod.ts";
import { type BackendCandidate } from "./backend_choice.ts";

/** Share of the requests beyond the target's share that the trial uses. */
const USE_SHARE = 0.9;
/** Share of its slots up to which a server is filled. */
const FILL_SHARE = 0.6;
/**
 * Returns the first server that is not filled, in an order that is the same on
 * every VM; `undefined` if there is none. Those that failed requests are left
 * out, as a single one of these may be at fault itself.
 */
export function firstUnfilled<Candidate extends BackendCandidate>(
  candidates: readonly Candidate[],
  failingIds: readonly string[],
): Candidate | undefined {
  let first: Candidate | undefined;
  for (const candidate of candidates) {
    const { id, loadCount, slotCount, isSuspect } = candidate;
    if (isSuspect || failingIds.includes(id)) continue;
    if (loadCount >= FILL_SHARE * slotCount) continue;
    if (first !== undefined && hashShare(first.id) <= hashShare(id)) continue;
    first = candidate;
  }
  return first;
}

/** Returns how many requests of one VM are part of the trial. */
export function loadTrialQuota(
  { slackCount, vmCount, vmHashShare }: {
    /** Requests that a bad target may get beyond its share. */
    readonly slackCount: number;
    /** `undefined` while the VMs are not known; then this one sends none. */
    readonly vmCount: number | undefined;
    /** A hash of the VM: decides which VMs send one more. */
    readonly vmHashShare: number;
  },
): number {
  if (vmCount === undefined) return 0;
  const perVm = USE_SHARE * slackCount / Math.max(1, vmCount);
  return Math.floor(perVm + vmHashShare);
}
