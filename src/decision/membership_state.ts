/**
 * The state of the membership protocol and its draft. A draft is opened on a
 * state, changed by the steps of one event, and closed into the next state with
 * the effects it gathered; a state itself never changes.
 */
import { Map as PersistentMap } from "immutable";
import { type Random } from "../model/mod.ts";
import { isPresent, type Member, type MemberUpdate } from "./member.ts";

/** Durations and bounds of the protocol. */
export interface MembershipOptions {
  /** One member is probed in each period. */
  readonly periodMs: number;
  /** Without an ack for so long, other members are asked to probe. */
  readonly directTimeoutMs: number;
  readonly indirectCount: number;
  /** Suspicion lasts this many periods times log10 of the group's size. */
  readonly suspicionPeriods: number;
  /** An update is sent this many times the log2 of the group's size. */
  readonly retransmitFactor: number;
  /** The most updates that one message carries. */
  readonly maxUpdates: number;
  /** Of these, entries of the table that repair lost updates. */
  readonly repairCount: number;
  /** A dead member still listed is probed once in so many periods. */
  readonly deadProbePeriods: number;
  /** A message from the member within this time outweighs the VM list. */
  readonly freshMs: number;
  /** How long a dead member that no list names is remembered. */
  readonly removeDeadAfterMs: number;
  readonly maxMembers: number;
}

/** The options of a deployment that sets none. */
export const DEFAULT_MEMBERSHIP: MembershipOptions = {
  periodMs: 1000,
  directTimeoutMs: 300,
  indirectCount: 3,
  suspicionPeriods: 4,
  retransmitFactor: 3,
  maxUpdates: 6,
  repairCount: 2,
  deadProbePeriods: 5,
  freshMs: 10_000,
  removeDeadAfterMs: 120_000,
  maxMembers: 1024,
};

/** Fields of every membership message. */
export interface MessageHead {
  readonly sequence: number;
  readonly from: MemberUpdate;
  readonly loadShare: number;
  readonly updates: readonly MemberUpdate[];
}

/** A message between members. */
export type MembershipMessage =
  | MessageHead & { readonly kind: "probe" }
  | MessageHead & { readonly kind: "ack" }
  | MessageHead & { readonly kind: "probe_request"; readonly target: string };

/** What the caller of the state machine is to do. */
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

/** A probe made for another member. */
export interface Relay {
  readonly requestedBy: string;
  readonly sequence: number;
  readonly untilMs: number;
}

/** The whole state; immutable. */
export interface MembershipState {
  readonly options: MembershipOptions;
  readonly self: MemberUpdate;
  readonly loadShare: number;
  readonly members: PersistentMap<string, Member>;
  /** How often each update still to be spread has been sent. */
  readonly transmitCounts: PersistentMap<string, number>;
  /** Members in the order of probing, and the next one's index. */
  readonly order: readonly string[];
  readonly orderIndex: number;
  /** Members in the order of repair, and the next one's index. */
  readonly repairOrder: readonly string[];
  readonly repairIndex: number;
  readonly probe: Probe | undefined;
  readonly relays: PersistentMap<number, Relay>;
  readonly nextSequence: number;
  readonly periodCount: number;
  readonly nextPeriodAtMs: number;
  readonly lastTickAtMs: number;
}

/** Time and chance at one event. */
export interface StepContext {
  readonly nowMs: number;
  readonly random: Random;
}

/** A state under change. */
export type Draft =
  & { -readonly [Key in keyof MembershipState]: MembershipState[Key] }
  & StepContext
  & { readonly effects: MembershipEffect[] };

/** The state of a VM that knows only itself. */
export function createMembership(
  self: Omit<MemberUpdate, "incarnation" | "status">,
  options: Partial<MembershipOptions> & { readonly nowMs: number },
): MembershipState {
  const { nowMs, ...given } = options;
  return {
    options: { ...DEFAULT_MEMBERSHIP, ...given },
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
  };
}

/** Opens a draft on a state. */
export function openDraft(state: MembershipState, context: StepContext): Draft {
  return { ...state, ...context, effects: [] };
}

/** Closes a draft into the next state. */
export function closeDraft(draft: Draft): MembershipState {
  const { effects: _effects, nowMs: _nowMs, random: _random, ...state } = draft;
  return state;
}

/** The number of members that take part, this VM included. */
export function groupSize(state: MembershipState): number {
  return 1 + state.members.count((member) => isPresent(member.update.status));
}

/** The members in a random order. */
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
