/**
 * Chooses the backend server with the lowest expected cost of a request, in
 * milliseconds of delay. Network distance, queueing, prefill of the shared
 * prompt and the risk of failure are all converted to that unit. Rendezvous
 * hashing sends requests with the same prompt to the same server without
 * communication between VMs, until its queue costs more than the prefill.
 *
 * Known loads are a moment old and the same on many VMs. So that these don't
 * all choose the server that was idle, a request compares only a few random
 * servers of each distance (power of d choices), and the one with its prompt.
 */
import { hashShare, type Random } from "../model/mod.ts";

/** Prefill rate of an engine, from its data sheet. */
export const PROMPT_TOKENS_PER_MS = 92.1;
/** Extra cost per rank of the rendezvous order, as a share of the prefill. */
const RANK_STEP_SHARE = 0.1;
/** Cost of a repeated prefill, as a multiple of its duration. */
const REPREFILL_WEIGHT = 2;
/** Cost of a failure that a retry can repair: about one target latency. */
const RETRIABLE_RISK_MS = 800;
/** Cost of a failure that reaches the caller. */
const FINAL_RISK_MS = 6000;
/** Failure shares up to this are treated as noise. */
const NOISE_FAILURE_SHARE = 0.02;
/** Servers compared at each distance, besides the one with the prompt. */
const SAMPLES_PER_DISTANCE = 3;
/** Random part of the cost, so that VMs don't all break a tie the same way. */
const TIE_BREAK_MS = 2;

export interface BackendCandidate {
  readonly id: string;
  readonly place: string;
  /** Estimated number of requests queued or running there. */
  readonly loadCount: number;
  readonly slotCount: number;
  /** Expected queueing time of a new request. */
  readonly waitMs: number;
  readonly failureShare: number;
  /** Presumed down: chosen only when there is no other server. */
  readonly isSuspect: boolean;
}

/** The request to place, and the costs that depend on it. */
export interface ChoiceQuery {
  /** Network cost of a place. */
  readonly distanceMs: (place: string) => number;
  /** Delay added for each request already at a server. */
  readonly loadStepMs: number;
  /** Service time of a request; estimates the wait at a full server. */
  readonly workMs: number;
  /** Key common to requests with the same prompt; absent without a prompt. */
  readonly affinityKey: string | undefined;
  /** Length of the prompt prefix shared with other requests. */
  readonly sharedTokens: number;
  /** Whether a failed request may be retried at another server. */
  readonly isRetriable: boolean;
  readonly random: Random;
}

/** Returns the cheapest server, or `undefined` without candidates. */
export function chooseBackend<Candidate extends BackendCandidate>(
  candidates: readonly Candidate[],
  query: ChoiceQuery,
): Candidate | undefined {
  const trusted = candidates.filter((candidate) => !candidate.isSuspect);
  const eligible = trusted.length > 0 ? trusted : candidates;
  const prefillMs = prefillCosts(eligible, query);
  let best: Candidate | undefined;
  let bestMs = Infinity;
  const sampledIds = sampleByDistance(eligible, query);
  for (const candidate of eligible) {
    const isFirstByPrompt = prefillMs.get(candidate.id) === 0;
    if (!isFirstByPrompt && !sampledIds.has(candidate.id)) continue;
    const costMs = costOf(candidate, query) +
      (prefillMs.get(candidate.id) ?? 0);
    if (costMs >= bestMs) continue;
    best = candidate;
    bestMs = costMs;
  }
  return best;
}

/** Returns the ids of a few random candidates of each distance. */
function sampleByDistance(
  candidates: readonly BackendCandidate[],
  { distanceMs, random }: ChoiceQuery,
): ReadonlySet<string> {
  const groups = new Map<number, string[]>();
  for (const { id, place } of candidates) {
    const distance = distanceMs(place);
    const group = groups.get(distance);
    if (group === undefined) groups.set(distance, [id]);
    else group.push(id);
  }
  const sampled = new Set<string>();
  for (const ids of groups.values()) {
    for (let count = 0; count < SAMPLES_PER_DISTANCE; count++) {
      const index = Math.floor(random() * ids.length);
      const [id] = ids.splice(index, 1);
      if (id !== undefined) sampled.add(id);
    }
  }
  return sampled;
}

function costOf(candidate: BackendCandidate, query: ChoiceQuery): number {
  const { loadCount, slotCount, failureShare } = candidate;
  const excess = Math.max(0, loadCount + 1 - slotCount);
  const waitMs = candidate.waitMs +
    excess * query.workMs / Math.max(1, slotCount);
  const riskMs = query.isRetriable ? RETRIABLE_RISK_MS : FINAL_RISK_MS;
  const risk = Math.max(0, failureShare - NOISE_FAILURE_SHARE);
  return query.distanceMs(candidate.place) + waitMs +
    loadCount * query.loadStepMs + risk * riskMs +
    query.random() * TIE_BREAK_MS;
}

/** Returns the prefill cost of the shared prompt, by server id. */
function prefillCosts(
  candidates: readonly BackendCandidate[],
  query: ChoiceQuery,
): ReadonlyMap<string, number> {
  const costs = new Map<string, number>();
  const { affinityKey, sharedTokens } = query;
  if (affinityKey === undefined || sharedTokens === 0) return costs;
  const weightedPrefillMs = REPREFILL_WEIGHT * sharedTokens /
    PROMPT_TOKENS_PER_MS;
  const ranked = candidates
    .map(({ id, place }) => ({
      id,
      distanceMs: query.distanceMs(place),
      hashRank: hashShare(`${affinityKey} ${id}`),
    }))
    .sort((a, b) => a.distanceMs - b.distanceMs || b.hashRank - a.hashRank);
  for (const [rank, { id }] of ranked.entries()) {
    const step = rank === 0 ? 0 : 1 + RANK_STEP_SHARE * rank;
    costs.set(id, step * weightedPrefillMs);
  }
  return costs;
}
