/**
 * The immutable state of the membership protocol, and its mutable draft. A
 * draft is opened from a state, changed while one event is applied, and closed
 * into the next state; it also collects the effects.
 */
import { Map as PersistentMap } from "immutable";
import { type Random } from "../model/mod.ts";
import { isPresent, type Member, type MemberUpdate } from "./member.ts";

/** Durations and bounds of the protocol. */
export interface MembershipOptions {
  /** Interval between probes; each period probes one member. */
  readonly periodMs: number;
  /** Time without an ack after which other members are asked to probe. */
  readonly directTimeoutMs: number;
  /** Number of members that are asked to probe. */
  readonly indirectCount: number;
  /** Suspicion lasts this many periods times log10 of the group size. */
  readonly suspicionPeriods: number;
  /** An update is sent this many times log2 of the group size. */
  readonly retransmitFactor: number;
  /** Maximum number of updates in one message. */
  readonly maxUpdates: number;
  /**
   * Maximum number of table entries that a message adds, in rotation and within
   * `maxUpdates`, to repair lost updates.
   */
  readonly repairCount: number;
  /** A random dead member is probed once in this many periods. */
  readonly deadProbePeriods: number;
  /** A message from the member within this time overrides the VM list. */
  readonly recentMessageMs: number;
  /** Time before dead or left members are removed, unless listed as live. */
  readonly removeDeadAfterMs: number;
  readonly maxMembers: number;
}

export const DEFAULT_MEMBERSHIP: MembershipOptions = {
  periodMs: 1000,
  directTimeoutMs: 300,
  indirectCount: 3,
  suspicionPeriods: 4,
  retransmitFactor: 3,
  maxUpdates: 6,
  repairCount: 2,
  deadProbePeriods: 5,
  recentMessageMs: 10_000,
  removeDeadAfterMs: 120_000,
  maxMembers: 1024,
};

/** Fields common to all membership messages. */
export interface MessageHead {
  readonly sequence: number;
  readonly from: MemberUpdate;
  readonly loadShare: number;
  readonly updates: readonly MemberUpdate[];
}

export type MembershipMessage =
  | MessageHead & { readonly kind: "probe" }
  | MessageHead & { readonly kind: "ack" }
  | MessageHead & { readonly kind: "probe_request"; readonly target: string };

/** Actions for the caller of the state machine. */
export type MembershipEffect =
  | {
    readonly kind: "send";
    readonly to: MemberUpdate;
    readonly message: MembershipMessage;
    /** Discard an open connection to the member and use a new one. */
    readonly isFresh: boolean;
  }
  | {
    readonly kind: "changed";
    readonly update: MemberUpdate;
    readonly before: MemberUpdate["status"] | undefined;
  };

/** The probe of the current period. */
export interface Probe {
  readonly target: string;
  readonly sequence: number;
  readonly directUntilMs: number;
  readonly untilMs: number;
  readonly isIndirect: boolean;
}

/** A probe made on behalf of another member. */
export interface Relay {
  readonly requestedBy: string;
  readonly sequence: number;
  readonly untilMs: number;
}

/** The state of the protocol at one VM; immutable. */
export interface MembershipState {
  readonly options: MembershipOptions;
  readonly self: MemberUpdate;
  readonly loadShare: number;
  readonly members: PersistentMap<string, Member>;
  /** Times that each queued update has been sent, by VM. */
  readonly transmitCounts: PersistentMap<string, number>;
  /** Members in probe order, and the index of the next one. */
  readonly order: readonly string[];
  readonly orderIndex: number;
  /** Members in repair order, and the index of the next one. */
  readonly repairOrder: readonly string[];
  readonly repairIndex: number;
  readonly probe: Probe | undefined;
  readonly relays: PersistentMap<number, Relay>;
  readonly nextSequence: number;
  readonly periodCount: number;
  readonly nextPeriodAtMs: number;
  readonly lastTickAtMs: number;
  /** When a message of any member arrived last. */
  readonly lastHeardAtMs: number;
  /** The same for the members of each place. */
  readonly placeHeardAtMs: PersistentMap<string, number>;
  /** When this VM last returned from a pause or from being cut off. */
  readonly returnedAtMs: number;
  /** The sequence number of the first probe since then. */
  readonly returnSequence: number;
}

/** Time and random source for one event. */
export interface StepContext {
  readonly nowMs: number;
  readonly random: Random;
}

/** A mutable copy of the state while one event is applied. */
export type Draft =
  & { -readonly [Key in keyof MembershipState]: MembershipState[Key] }
  & StepContext
  & { readonly effects: MembershipEffect[] };

/** Creates the state of a VM without other members. */
export function createMembership(
  self: Omit<MemberUpdate, "incarnation" | "status">,
  options: Partial<MembershipOptions> & { readonly nowMs: number },
): MembershipState {
  const { nowMs, ...overrides } = options;
  return {
    options: { ...DEFAULT_MEMBERSHIP, ...overrides },
    self: { ...self, incarnation: 0, status: "alive" },
    loadShare: 0,
    members: PersistentMap(),
    transmitCounts: PersistentMap(),
    order: [],
    orderIndex: 0,
    repairOrder: [],
    repairIndex: 0,
    probe: undefined,
    relays: PersistentMap(),
    nextSequence: 1,
    periodCount: 0,
    nextPeriodAtMs: nowMs,
    lastTickAtMs: nowMs,
    lastHeardAtMs: nowMs,
    placeHeardAtMs: PersistentMap(),
    returnedAtMs: -Infinity,
    returnSequence: 1,
  };
}

export function openDraft(state: MembershipState, context: StepContext): Draft {
  return { ...state, ...context, effects: [] };
}

export function closeDraft(draft: Draft): MembershipState {
  const { effects: _effects, nowMs: _nowMs, random: _random, ...state } = draft;
  return state;
}

/**
 * Returns a function that computes something of one VM and its members, and
 * keeps it until one of them changes. It is for what is asked for far more often
 * than messages of members arrive.
 */
export function cachedByMembers<Value>(
  compute: (state: MembershipState) => Value,
): (state: MembershipState) => Value {
  let last: { readonly state: MembershipState; readonly value: Value };
  return (state) => {
    const isKept = last?.state.members === state.members &&
      last.state.self === state.self;
    if (!isKept) last = { state, value: compute(state) };
    return last.value;
  };
}

/** Returns the number of members that take part, including this VM. */
export function groupSize(state: MembershipState): number {
  return 1 + state.members.count((member) => isPresent(member.update.status));
}

/** Returns the items in random order. */
export function shuffle<Item>(
  items: readonly Item[],
  random: Random,
): Item[] {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last--) {
    const index = Math.floor(random() * (last + 1));
    const item = shuffled[last] as Item;
    shuffled[last] = shuffled[index] as Item;
    shuffled[index] = item;
  }
  return shuffled;
}
