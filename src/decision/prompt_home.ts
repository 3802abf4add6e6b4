/**
 * Finds the server to which requests with a common prompt go, so that its cache
 * saves their prefill: the first in rendezvous order among the servers nearer
 * than the prefill is worth. All VMs within that distance find the same one
 * without communication. A prompt whose requests would occupy more than half of
 * a server has several homes, as many as that takes. A home without a free
 * slot, with twice the usual load, or whose queue takes longer than the prefill,
 * is passed over for the next in the order.
 */
import { hashShare, type Random } from "../model/mod.ts";

/**
 * Load up to which a server with free slots takes requests as a home. With less
 * than all slots (0.9 and 0.75 of them) fewer prompts were found in caches and
 * more answers were late in the simulated load.
 */
const MEAN_LOAD = { factor: 2, slackCount: 4 } as const;

/** Share of a home's slots for the requests of one prompt. */
const PROMPT_SLOT_SHARE = 0.5;

export interface HomeCandidate {
  readonly id: string;
  readonly place: string;
  readonly loadCount: number;
  readonly slotCount: number;
  readonly waitMs: number;
}

/** How much a prompt is used. */
export interface PromptUse {
  /** Requests with it, from all VMs. */
  readonly perSecond: number;
  /** How long each occupies a slot. */
  readonly holdMs: number;
}

/** A prompt, and what its prefill is worth. */
export interface HomeQuery {
  readonly distanceMs: (place: string) => number;
  readonly affinityKey: string;
  readonly savedMs: number;
  readonly use: PromptUse;
  readonly random: Random;
}

/** The server that may take a request for its prompt's sake. */
export interface PromptHome<Candidate> {
  readonly candidate: Candidate;
  /** Whether it is one of the homes; otherwise all of them were passed over. */
  readonly isFirst: boolean;
}

/** Returns the home of a request; undefined if no server may take it so. */
export function findHome<Candidate extends HomeCandidate>(
  candidates: readonly Candidate[],
  query: HomeQuery,
): PromptHome<Candidate> | undefined {
  const { affinityKey, savedMs, random } = query;
  const near = nearerThan(candidates, query);
  const nearShare = near.length / Math.max(1, candidates.length);
  const homeCount = homeCountOf(near, {
    ...query.use,
    perSecond: nearShare * query.use.perSecond,
  });
  let loadSum = 0;
  for (const { loadCount } of near) loadSum += loadCount;
  const meanBound = MEAN_LOAD.slackCount +
    MEAN_LOAD.factor * loadSum / Math.max(1, near.length);
  const isOpen = (candidate: Candidate): boolean =>
    candidate.loadCount < Math.min(meanBound, candidate.slotCount) &&
    candidate.waitMs < savedMs;
  const ranked = near
    .map((candidate) => ({
      candidate,
      rank: hashShare(`${affinityKey} ${candidate.id}`),
    }))
    .sort((a, b) => b.rank - a.rank);
  const homes = ranked.slice(0, homeCount)
    .map(({ candidate }) => candidate)
    .filter(isOpen);
  // Two random ones are compared: known loads are the same on many VMs.
  const picked = [random(), random()].map((share) =>
    homes[Math.floor(share * homes.length)]
  );
  const [one, two] = picked;
  if (one !== undefined && two !== undefined) {
    const candidate = two.loadCount < one.loadCount ? two : one;
    return { candidate, isFirst: true };
  }
  for (const { candidate } of ranked.slice(homeCount)) {
    if (isOpen(candidate)) return { candidate, isFirst: false };
  }
  return undefined;
}

function homeCountOf(
  [server]: readonly HomeCandidate[],
  { perSecond, holdMs }: PromptUse,
): number {
  const requestCount = perSecond * holdMs / 1000;
  const slotCount = PROMPT_SLOT_SHARE * Math.max(1, server?.slotCount ?? 1);
  return Math.max(1, Math.ceil(requestCount / slotCount));
}

/** Returns the candidates whose distance costs less than the prefill. */
function nearerThan<Candidate extends HomeCandidate>(
  candidates: readonly Candidate[],
  { distanceMs, savedMs }: HomeQuery,
): readonly Candidate[] {
  let nearestMs = Infinity;
  for (const { place } of candidates) {
    nearestMs = Math.min(nearestMs, distanceMs(place));
  }
  return candidates.filter(({ place }) =>
    distanceMs(place) - nearestMs < savedMs || distanceMs(place) === nearestMs
  );
}
