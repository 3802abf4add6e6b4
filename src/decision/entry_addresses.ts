/**
 * Chooses the entry addresses advertised to a caller: a few, from the caller's
 * place first, then its region, then elsewhere. VMs at the same distance are
 * sampled by free capacity. VMs that are leaving are never advertised, suspect
 * ones only if no other is left: with an empty answer a caller would fall back
 * to every VM it knows, leaving ones included. The answer is valid for its max
 * age; a VM that shuts down accepts requests until the answers that name it have
 * expired.
 */
import { type Place, type Random } from "../model/mod.ts";
import { type Member, type MemberStatus, type MemberUpdate } from "./member.ts";
import { aliveCheck } from "./membership_evidence.ts";
import { type MembershipState } from "./membership_state.ts";

/** Load assumed for a VM without a recent report. */
const PRIOR_LOAD_SHARE = 0.5;
/** Minimum sampling weight, so that even a fully loaded VM is advertised. */
const MIN_WEIGHT = 0.05;

export interface EntryAddress {
  readonly vm: string;
  readonly place: string;
  readonly address: string;
}

/** The addresses for a caller, and how long it may cache them. */
export interface EntryAnswer {
  readonly entries: readonly EntryAddress[];
  readonly maxAgeMs: number;
}

export interface EntryQuery {
  /** The caller's place, if it named one. */
  readonly place: string | undefined;
  /** The caller's region; if absent, that of its place. */
  readonly region?: string | undefined;
  /**
   * Groups of places, the best first: VMs of the first group that has one are
   * used, all VMs if no group has one.
   */
  readonly placeGroups?: readonly ((place: string) => boolean)[];
  readonly places: readonly Place[];
  readonly drainedPlaces: readonly string[];
  readonly maxCount: number;
  /**
   * More distant places are used only until the answer has this many addresses;
   * if absent, they are used up to `maxCount`.
   */
  readonly minCount?: number;
  readonly maxAgeMs: number;
  /** Age at which a load report has decayed to the assumed load. */
  readonly loadMaxAgeMs: number;
  /**
   * Whether only VMs that are known to be alive are chosen; without any, one
   * other address, which is no worse than none.
   */
  readonly isStrict?: boolean;
  readonly nowMs: number;
  readonly random: Random;
}

interface Candidate extends EntryAddress {
  readonly distance: number;
  /** Sort key of weighted random sampling without replacement. */
  readonly sampleKey: number;
}

export function chooseEntries(
  state: MembershipState,
  query: EntryQuery,
): EntryAnswer {
  const sure = query.isStrict === true ? sureCandidatesOf(state, query) : [];
  const candidates = firstGroup(
    sure.length > 0 ? sure : candidatesOf(state, query),
    query,
  );
  candidates.sort((a, b) =>
    a.distance - b.distance || b.sampleKey - a.sampleKey
  );
  const isUnsure = query.isStrict === true && sure.length === 0;
  const maxCount = isUnsure ? 1 : query.maxCount;
  const entries = query.minCount === undefined
    ? withSpare(candidates, maxCount)
    : nearest(candidates, maxCount, query.minCount);
  return {
    entries: entries.map(({ vm, place, address }) => ({ vm, place, address })),
    maxAgeMs: query.maxAgeMs,
  };
}

function candidatesOf(state: MembershipState, query: EntryQuery): Candidate[] {
  const alive = candidatesWith("alive", { state, query });
  return alive.length > 0 ? alive : candidatesWith("suspect", { state, query });
}

/** Returns the candidates of the first group that has any. */
function firstGroup(
  candidates: Candidate[],
  { placeGroups = [] }: EntryQuery,
): Candidate[] {
  for (const isInGroup of placeGroups) {
    const group = candidates.filter(({ place }) => isInGroup(place));
    if (group.length > 0) return group;
  }
  return candidates;
}

/** This VM and the members that are known to be alive. */
function sureCandidatesOf(
  state: MembershipState,
  query: EntryQuery,
): Candidate[] {
  const isSure = aliveCheck(state, query.nowMs);
  return candidatesWith("alive", { state, query, isSure });
}

function candidatesWith(
  status: MemberStatus,
  { state, query, isSure = (): boolean => true }: {
    readonly state: MembershipState;
    readonly query: EntryQuery;
    readonly isSure?: (member: Member) => boolean;
  },
): Candidate[] {
  const isEligible = (update: MemberUpdate): boolean =>
    update.status === status && update.address !== "" &&
    !query.drainedPlaces.includes(update.place);
  const candidates: Candidate[] = [];
  if (isEligible(state.self)) {
    candidates.push(candidateOf(state.self, state.loadShare, query));
  }
  for (const member of state.members.values()) {
    if (!isEligible(member.update) || member.listed === "leaving") continue;
    if (!isSure(member)) continue;
    candidates.push(candidateOf(member.update, loadOf(member, query), query));
  }
  return candidates;
}

function candidateOf(
  update: MemberUpdate,
  loadShare: number,
  query: EntryQuery,
): Candidate {
  const weight = Math.max(MIN_WEIGHT, 1 - loadShare);
  return {
    vm: update.vm,
    place: update.place,
    address: update.address,
    distance: distanceOf(update.place, query),
    sampleKey: query.random() ** (1 / weight),
  };
}

function loadOf(member: Member, query: EntryQuery): number {
  const { lastMessageAtMs, loadShare } = member;
  if (lastMessageAtMs === undefined || loadShare === undefined) {
    return PRIOR_LOAD_SHARE;
  }
  const ageShare = Math.min(
    1,
    (query.nowMs - lastMessageAtMs) / query.loadMaxAgeMs,
  );
  return loadShare + (PRIOR_LOAD_SHARE - loadShare) * ageShare;
}

function distanceOf(place: string, query: EntryQuery): number {
  if (query.place === undefined && query.region === undefined) return 0;
  if (place === query.place) return 0;
  const region = query.region ?? regionOf(query.place, query);
  if (region !== undefined && regionOf(place, query) === region) return 1;
  return 2;
}

function regionOf(
  place: string | undefined,
  query: EntryQuery,
): string | undefined {
  return query.places.find((item) => item.place === place)?.region;
}

/** Takes complete distance groups until there are `minCount` candidates. */
function nearest(
  candidates: readonly Candidate[],
  maxCount: number,
  minCount: number,
): readonly Candidate[] {
  const chosen: Candidate[] = [];
  let distance = -1;
  for (const candidate of candidates) {
    if (chosen.length >= maxCount) break;
    if (candidate.distance > distance && chosen.length >= minCount) break;
    distance = candidate.distance;
    chosen.push(candidate);
  }
  return chosen;
}

/** Replaces the last address by one of another place, in case a place fails. */
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
