/**
 * Which entry addresses a caller gets: few, the caller's place first, then its
 * region, then the rest; spread over the VMs of each step by load; never one
 * that is leaving or under suspicion. The answer holds for a max age, for which
 * a VM that is shutting down goes on accepting.
 */
import { type Place, type Random } from "../model/mod.ts";
import { type Member, type MemberUpdate } from "./member.ts";
import { type MembershipState } from "./membership_state.ts";

/** The load assumed of a VM that reported none lately. */
const PRIOR_LOAD_SHARE = 0.5;
const LEAST_ROOM_SHARE = 0.05;

/** One address of an entry VM. */
export interface EntryAddress {
  readonly vm: string;
  readonly place: string;
  readonly address: string;
}

/** What a caller is answered. */
export interface EntryAnswer {
  readonly entries: readonly EntryAddress[];
  readonly maxAgeMs: number;
}

/** Bounds and inputs of one answer. */
export interface EntryQuery {
  /** The caller's place, if it named one. */
  readonly place: string | undefined;
  readonly places: readonly Place[];
  readonly drainedPlaces: readonly string[];
  readonly maxCount: number;
  /**
   * Places further away are named only to make up this many; absent where they
   * fill the answer up to `maxCount`.
   */
  readonly minCount?: number;
  readonly maxAgeMs: number;
  /** A load report older than this counts as the prior. */
  readonly loadMaxAgeMs: number;
  readonly nowMs: number;
  readonly random: Random;
}

interface Candidate extends EntryAddress {
  readonly distance: number;
  /** Sort key of a weighted draw without replacement. */
  readonly draw: number;
}

/** Chooses the addresses for one caller. */
export function chooseEntries(
  state: MembershipState,
  query: EntryQuery,
): EntryAnswer {
  const candidates = candidatesOf(state, query);
  candidates.sort((a, b) => a.distance - b.distance || b.draw - a.draw);
  const entries = query.minCount === undefined
    ? withSpare(candidates, query.maxCount)
    : nearest(candidates, query.maxCount, query.minCount);
  return {
    entries: entries.map(({ vm, place, address }) => ({ vm, place, address })),
    maxAgeMs: query.maxAgeMs,
  };
}

function candidatesOf(state: MembershipState, query: EntryQuery): Candidate[] {
  const candidates: Candidate[] = [];
  if (canHandOut(state.self, query)) {
    candidates.push(candidateOf(state.self, state.loadShare, query));
  }
  for (const member of state.members.values()) {
    if (!canHandOut(member.update, query)) continue;
    if (member.listed === "leaving") continue;
    candidates.push(candidateOf(member.update, loadOf(member, query), query));
  }
  return candidates;
}

function canHandOut(update: MemberUpdate, query: EntryQuery): boolean {
  if (update.status !== "alive" || update.address === "") return false;
  return !query.drainedPlaces.includes(update.place);
}

function candidateOf(
  update: MemberUpdate,
  loadShare: number,
  query: EntryQuery,
): Candidate {
  const weight = Math.max(LEAST_ROOM_SHARE, 1 - loadShare);
  return {
    vm: update.vm,
    place: update.place,
    address: update.address,
    distance: distanceOf(update.place, query),
    draw: query.random() ** (1 / weight),
  };
}

function loadOf(member: Member, query: EntryQuery): number {
  const { lastMessageAtMs: heardAtMs, loadShare } = member;
  if (heardAtMs === undefined || loadShare === undefined) {
    return PRIOR_LOAD_SHARE;
  }
  const ageShare = Math.min(
    1,
    (query.nowMs - heardAtMs) / query.loadMaxAgeMs,
  );
  return loadShare + (PRIOR_LOAD_SHARE - loadShare) * ageShare;
}

function distanceOf(place: string, query: EntryQuery): number {
  if (query.place === undefined) return 0;
  if (place === query.place) return 0;
  const region = regionOf(query.place, query);
  if (region !== undefined && regionOf(place, query) === region) return 1;
  return 2;
}

function regionOf(place: string, query: EntryQuery): string | undefined {
  return query.places.find((item) => item.place === place)?.region;
}

/** Whole steps of distance until there are enough. */
function nearest(
  candidates: readonly Candidate[],
  maxCount: number,
  leastCount: number,
): readonly Candidate[] {
  const chosen: Candidate[] = [];
  let distance = -1;
  for (const candidate of candidates) {
    if (chosen.length >= maxCount) break;
    if (candidate.distance > distance && chosen.length >= leastCount) break;
    distance = candidate.distance;
    chosen.push(candidate);
  }
  return chosen;
}

/** Keeps the last address for another place, should the nearest one fail. */
function withSpare(
  candidates: readonly Candidate[],
  maxCount: number,
): readonly Candidate[] {
  const chosen = candidates.slice(0, maxCount);
  const first = chosen[0];
  if (first === undefined || maxCount < 2) return chosen;
  if (chosen.some((candidate) => candidate.place !== first.place)) {
    return chosen;
  }
  const spare = candidates.find((candidate) => candidate.place !== first.place);
  return spare === undefined ? chosen : [...chosen.slice(0, -1), spare];
}
