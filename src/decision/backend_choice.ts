/**
 * Which backend server gets a request: the one with the least expected cost in
 * milliseconds of waiting. Distance, queue, prompt that would be read again and
 * the risk of failure are all put into that unit. Requests that share a prompt
 * agree on a server by rendezvous hashing, without a word between VMs, until
 * its queue outweighs the reading.
 */
import { hashShare, type Random } from "../model/mod.ts";

/** Prompt tokens that an engine reads in a millisecond, from its data sheet. */
export const PROMPT_TOKENS_PER_MS = 92.1;
/** A later rank of the rendezvous order costs this much of the reading. */
const RANK_STEP_SHARE = 0.1;
/** What re-reading costs beside its time, as a multiple of that time. */
const REREAD_WEIGHT = 2;
/** A failed request that may be sent again costs about a target's wait. */
const RETRIABLE_RISK_MS = 800;
const FINAL_RISK_MS = 6000;
/** A failure share below this is taken for chance. */
const CHANCE_FAILURE_SHARE = 0.02;
/** Breaks ties, so that VMs do not all choose the first. */
const TIE_MS = 2;

/** One server that may be chosen. */
export interface BackendCandidate {
  readonly id: string;
  readonly place: string;
  /** Requests that wait or run there, as far as is known. */
  readonly loadCount: number;
  readonly slotCount: number;
  /** How long a request would wait there before it is begun. */
  readonly waitMs: number;
  readonly failureShare: number;
  /** It is down, as far as is known, and may only be tested. */
  readonly isSuspect: boolean;
}

/** The request for which a server is sought. */
export interface ChoiceQuery {
  /** Cost of the way to a place, in milliseconds. */
  readonly distanceMs: (place: string) => number;
  /** What one more request at a server costs in time. */
  readonly loadStepMs: number;
  /** How long a request of this service takes, for the wait when it is full. */
  readonly workMs: number;
  /** What requests with a common prompt share; none without a prompt. */
  readonly affinityKey: string | undefined;
  /** Tokens of the prompt that others share. */
  readonly sharedTokens: number;
  /** Whether a failure may be mended by another server. */
  readonly isRetriable: boolean;
  readonly random: Random;
}

/** The best server, or none when there is no candidate. */
export function chooseBackend<Candidate extends BackendCandidate>(
  candidates: readonly Candidate[],
  query: ChoiceQuery,
): Candidate | undefined {
  const usable = candidates.filter((candidate) => !candidate.isSuspect);
  const considered = usable.length > 0 ? usable : candidates;
  const rereadMs = rereadCosts(considered, query);
  let best: Candidate | undefined;
  let bestMs = Infinity;
  for (const candidate of considered) {
    const costMs = costOf(candidate, query) +
      (rereadMs.get(candidate.id) ?? 0);
    if (costMs >= bestMs) continue;
    best = candidate;
    bestMs = costMs;
  }
  return best;
}

function costOf(candidate: BackendCandidate, query: ChoiceQuery): number {
  const { loadCount, slotCount, failureShare } = candidate;
  const excess = Math.max(0, loadCount + 1 - slotCount);
  const waitMs = candidate.waitMs +
    excess * query.workMs / Math.max(1, slotCount);
  const riskMs = query.isRetriable ? RETRIABLE_RISK_MS : FINAL_RISK_MS;
  const risk = Math.max(0, failureShare - CHANCE_FAILURE_SHARE);
  return query.distanceMs(candidate.place) + waitMs +
    loadCount * query.loadStepMs + risk * riskMs + query.random() * TIE_MS;
}

/** The cost of reading the shared prompt again, by server. */
function rereadCosts(
  candidates: readonly BackendCandidate[],
  query: ChoiceQuery,
): ReadonlyMap<string, number> {
  const costs = new Map<string, number>();
  const { affinityKey, sharedTokens } = query;
  if (affinityKey === undefined || sharedTokens === 0) return costs;
  const readMs = REREAD_WEIGHT * sharedTokens / PROMPT_TOKENS_PER_MS;
  const ranked = candidates
    .map(({ id, place }) => ({
      id,
      distanceMs: query.distanceMs(place),
      draw: hashShare(`${affinityKey} ${id}`),
    }))
    .sort((a, b) => a.distanceMs - b.distanceMs || b.draw - a.draw);
  for (const [rank, { id }] of ranked.entries()) {
    const step = rank === 0 ? 0 : 1 + RANK_STEP_SHARE * rank;
    costs.set(id, step * readMs);
  }
  return costs;
}
