/**
 * Chooses the backend server with the lowest expected cost of a request, in
 * milliseconds of delay. Network distance, queueing, prefill of the shared
 * prompt and the risk of failure are all converted to that unit. Requests with
 * the same prompt go to its home while that has its share of load at most
 * (`prompt_home`).
 *
 * Known loads are a moment old and the same on many VMs. So that these don't
 * all choose the server that was idle, a request compares only a few random
 * servers of each distance (power of d choices), and the one with its prompt.
 */
import { type Random } from "../model/mod.ts";
import { findHome, type PromptUse } from "./prompt_home.ts";
import { type ServerEstimate } from "./server_estimate.ts";

/** Prefill rate of an engine, from its data sheet, until it is measured. */
const PROMPT_TOKENS_PER_MS = 92.1;
/**
 * Cost of a server as a share of the prefill: of a home, of one that takes over
 * from the homes and may have the prompt, and of others.
 */
const COLD_SHARES = { first: 0, next: 0.5, none: 1.1 } as const;
/** Which slow servers are probed, and by how many of the requests. */
const PROBE = { slowness: 1.5, requestShare: 0.01 } as const;
/** Weight of the time from an answer's first token to its end. */
const END_WEIGHT = 0.5;
const UNKNOWN_USE: PromptUse = { perSecond: 0, holdMs: 0 };
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
  /** How much longer work takes there than usually; absent if unknown. */
  readonly slowness?: number;
  /** Present where the manifest describes the engine. */
  readonly estimate?: ServerEstimate | undefined;
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
  /** Measured time to prefill them; undefined before a measurement. */
  readonly sharedPrefillMs?: number | undefined;
  /** How much the prompt is used; absent if unknown. */
  readonly promptUse?: PromptUse;
  /** Whether a failed request may be retried at another server. */
  readonly isRetriable: boolean;
  readonly random: Random;
}

/** Whether a server is the prompt's first home, another one, or none. */
export type HomeKind = "first" | "next" | "none";

/** A chosen server. */
export interface BackendChoice<Candidate> {
  readonly candidate: Candidate;
  /** Undefined for a request without a shared prompt. */
  readonly home: HomeKind | undefined;
}

/** Returns the cheapest server, or `undefined` without candidates. */
export function chooseBackend<Candidate extends BackendCandidate>(
  candidates: readonly Candidate[],
  query: ChoiceQuery,
): Candidate | undefined {
  return choosePlacement(candidates, query)?.candidate;
}

/** Returns the cheapest server, and what it is to the request's prompt. */
export function choosePlacement<Candidate extends BackendCandidate>(
  candidates: readonly Candidate[],
  query: ChoiceQuery,
): BackendChoice<Candidate> | undefined {
  const trusted = candidates.filter((candidate) => !candidate.isSuspect);
  const eligible = trusted.length > 0 ? trusted : candidates;
  const probed = probeOf(eligible, query.random);
  if (probed !== undefined) return { candidate: probed, home: undefined };
  const savedMs = savedMsOf(query);
  const { affinityKey } = query;
  const home = affinityKey === undefined || savedMs === 0
    ? undefined
    : findHome(eligible, {
      ...query,
      affinityKey,
      savedMs,
      use: query.promptUse ?? UNKNOWN_USE,
    });
  let best: BackendChoice<Candidate> | undefined;
  let bestMs = Infinity;
  const sampledIds = sampleByDistance(eligible, query);
  for (const candidate of eligible) {
    const isHome = candidate === home?.candidate;
    if (!isHome && !sampledIds.has(candidate.id)) continue;
    // A home has its share of requests at most: their delay is accepted.
    const loadMs = isHome ? 0 : loadMsOf(candidate, query);
    const kind = !isHome ? "none" : home?.isFirst === true ? "first" : "next";
    const costMs = costOf(candidate, query) + loadMs +
      COLD_SHARES[kind] * savedMs;
    if (costMs >= bestMs) continue;
    best = { candidate, home: savedMs === 0 ? undefined : kind };
    bestMs = costMs;
  }
  return best;
}

/**
 * Returns an idle slow server for a few of the requests: one that nobody uses
 * states nothing, so that its recovery would go unnoticed.
 */
function probeOf<Candidate extends BackendCandidate>(
  candidates: readonly Candidate[],
  random: Random,
): Candidate | undefined {
  const slow = candidates.filter(({ slowness = 1, loadCount }) =>
    slowness >= PROBE.slowness && loadCount < 1
  );
  if (slow.length === 0 || random() >= PROBE.requestShare) return undefined;
  return slow[Math.floor(random() * slow.length)];
}

/** What a cache saves by the prefill of the shared prompt. */
function savedMsOf(
  { affinityKey, sharedTokens, sharedPrefillMs }: ChoiceQuery,
): number {
  if (affinityKey === undefined) return 0;
  const prefillMs = sharedPrefillMs ?? sharedTokens / PROMPT_TOKENS_PER_MS;
  return REPREFILL_WEIGHT * prefillMs;
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

/** Cost of the other requests at a server. */
function loadMsOf(
  { estimate, loadCount }: BackendCandidate,
  { loadStepMs }: ChoiceQuery,
): number {
  if (estimate === undefined) return loadCount * loadStepMs;
  return END_WEIGHT * estimate.batchMs;
}

/** Expected delay of a request, without the cost of the other requests. */
function delayMsOf(
  candidate: BackendCandidate,
  { workMs }: ChoiceQuery,
): number {
  const { estimate, loadCount, slotCount, waitMs, slowness = 1 } = candidate;
  if (estimate !== undefined) {
    const { firstTokenMs, endMs, batchMs, prefillExcessMs } = estimate;
    return firstTokenMs + prefillExcessMs +
      END_WEIGHT * (endMs - firstTokenMs - batchMs);
  }
  const excess = Math.max(0, loadCount + 1 - slotCount);
  const slowMs = (slowness - 1) * workMs;
  return waitMs + slowMs + slowness * excess * workMs / Math.max(1, slotCount);
}

function costOf(candidate: BackendCandidate, query: ChoiceQuery): number {
  const { failureShare } = candidate;
  const riskMs = query.isRetriable ? RETRIABLE_RISK_MS : FINAL_RISK_MS;
  const risk = Math.max(0, failureShare - NOISE_FAILURE_SHARE);
  return query.distanceMs(candidate.place) + delayMsOf(candidate, query) +
    risk * riskMs +
    query.random() * TIE_BREAK_MS;
}
