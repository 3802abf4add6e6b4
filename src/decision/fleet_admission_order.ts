/**
 * The order in which requests wait for a slot of a service, and the rates due to
 * the workspaces at this VM. A workspace that asks for no more than its fair
 * share of the fleet, or gets clearly less, goes first; then the more urgent
 * request, then the workspace that had the least so far, then callers that come
 * back in time. At every eighth start the least urgent waiting request goes
 * first.
 */
import { type List } from "immutable";
import {
  type FairQueue,
  isReversedGrant,
  virtualStartOf,
} from "./admission_order.ts";
import { type Repeat } from "./admission_returns.ts";
import {
  fairRates,
  ratesOf,
  type SharedUse,
  type WorkspaceUse,
} from "./workspace_use.ts";

/** A request that waits for a slot. */
export interface WaitingRequest {
  readonly requestId: string;
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Common to a request and its repetitions. */
  readonly digest: string;
  readonly repeat: Repeat;
  readonly arrivedAtMs: number;
  readonly targetMs: number;
  readonly deadlineAtMs: number;
}

/** What a VM knows of a service's open servers. */
export interface CapacityView {
  readonly slotCount: number;
  /** Requests expected at them. */
  readonly loadCount: number;
  /** Slots expected to be free. */
  readonly freeCount: number;
  /** Usual time that a request occupies a slot, without a wait for it. */
  readonly holdMs: number;
  /** Mean time from the start to the answer, or to a stream's first event. */
  readonly answerMs: number;
  /** Whether any of their loads is known and recent. */
  readonly isKnown: boolean;
}

/** The rates that follow from what is asked for and what there is. */
export interface AdmissionPlan {
  /** Rate at which the service's slots free up. */
  readonly capacityPerSecond: number;
  /** This VM's part of it. */
  readonly ratePerSecond: number;
  /** A workspace's part of it at this VM. */
  readonly rateHereOf: (workspace: string) => number;
  /** The share of a workspace's requests that may start. */
  readonly startShareOf: (workspace: string) => number;
  /** The share of a workspace's requests that arrive at this VM. */
  readonly partHereOf: (workspace: string) => number;
  /** Whether a workspace asks for no more than its fair share. */
  readonly isWithinShare: (workspace: string) => boolean;
  /** Whether a workspace goes first, as it would get too little otherwise. */
  readonly isBelowShare: (workspace: string) => boolean;
}

/** Below this part of its fair share a workspace goes first. */
const GUARANTEED_SHARE = 0.9;
/**
 * The load at which requests start at the rate of the slots. With 1.1, four
 * servers with two slots each and stale loads answered 33 of 40 a second.
 */
const USUAL_LOAD_SHARE = 2.2;
/** How strongly another load changes the rate, and how far. */
const LOAD_GAIN = 0.6;
const MIN_RATE_FACTOR = 0.6;
const MAX_RATE_FACTOR = 1.5;
/** Bounds the cost of a start by a VM that sees few of a workspace's requests. */
const MIN_PART = 0.002;
const REPEAT_RANKS: Readonly<Record<Repeat, number>> = {
  returned: 0,
  first: 1,
  early: 2,
};
const SHORTER_WEIGHT = 0.2;
const LONGER_WEIGHT = 0.02;
const MS_PER_SECOND = 1000;

/**
 * Returns the usual time in a slot after one more request. Shorter times count
 * more than longer ones, which include a wait at the server.
 */
export function usualHoldMs(
  knownMs: number | undefined,
  holdMs: number,
): number {
  if (knownMs === undefined) return holdMs;
  const weight = holdMs < knownMs ? SHORTER_WEIGHT : LONGER_WEIGHT;
  return knownMs + weight * (holdMs - knownMs);
}

/** Returns the rates at which waiting requests may start. */
export function createPlan(
  { use, waiting }: {
    readonly use: WorkspaceUse;
    readonly waiting: List<WaitingRequest>;
  },
  { nowMs, view, others }: {
    readonly nowMs: number;
    readonly view: CapacityView;
    readonly others: SharedUse | undefined;
  },
): AdmissionPlan {
  const capacityPerSecond = Math.max(0.01, view.slotCount) * MS_PER_SECOND /
    Math.max(1, view.holdMs);
  const elsewhere = new Map(
    (others?.workspaces ?? []).map((shared) => [shared.name, shared] as const),
  );
  const names = new Set([
    ...use.keys(),
    ...elsewhere.keys(),
    ...waiting.map(({ workspace }) => workspace),
  ]);
  const asked = new Map<string, number>();
  const here = new Map<string, number>();
  const started = new Map<string, number>();
  for (const name of names) {
    const own = ratesOf(use, name, nowMs);
    const other = elsewhere.get(name);
    here.set(name, own.askedPerSecond);
    asked.set(name, own.askedPerSecond + (other?.askedPerSecond ?? 0));
    started.set(name, own.startedPerSecond + (other?.startedPerSecond ?? 0));
  }
  const fair = fairRates(capacityPerSecond * rateFactorOf(view), asked);
  const partHereOf = (name: string): number => {
    const all = asked.get(name) ?? 0;
    return all === 0 ? 1 : Math.max(MIN_PART, (here.get(name) ?? 0) / all);
  };
  const rateHereOf = (name: string): number =>
    (fair.get(name) ?? 0) * partHereOf(name);
  const isWithinShare = (name: string): boolean =>
    (asked.get(name) ?? 0) <= (fair.get(name) ?? 0);
  let ratePerSecond = 0;
  for (const name of names) {
    if ((here.get(name) ?? 0) > 0) ratePerSecond += rateHereOf(name);
  }
  return {
    capacityPerSecond,
    ratePerSecond: Math.max(0.01, ratePerSecond),
    rateHereOf,
    partHereOf,
    startShareOf: (name) =>
      Math.min(1, (fair.get(name) ?? 0) / (asked.get(name) ?? 1)),
    isWithinShare,
    isBelowShare: (name) =>
      isWithinShare(name) ||
      (started.get(name) ?? 0) < GUARANTEED_SHARE * (fair.get(name) ?? 0),
  };
}

/** Returns the waiting requests in the order in which they start. */
export function orderWaiting(
  state: FairQueue & {
    readonly waiting: List<WaitingRequest>;
    readonly releaseCount: number;
  },
  plan: AdmissionPlan,
): WaitingRequest[] {
  const ranked = rankWaiting(state, plan);
  ranked.sort(compareRanked);
  const order = ranked.map(({ request }) => request);
  if (!isReversedGrant(state.releaseCount)) return order;
  const leastUrgent = leastUrgentOf(order);
  if (leastUrgent === undefined) return order;
  return [leastUrgent, ...order.filter((one) => one !== leastUrgent)];
}

/** More than the usual load slows the starts, less speeds them up. */
function rateFactorOf({ isKnown, loadCount, slotCount }: CapacityView): number {
  if (!isKnown || slotCount === 0) return 1;
  const excess = loadCount / slotCount - USUAL_LOAD_SHARE;
  return Math.min(
    MAX_RATE_FACTOR,
    Math.max(MIN_RATE_FACTOR, 1 - LOAD_GAIN * excess),
  );
}

interface RankedRequest {
  readonly request: WaitingRequest;
  readonly isBelowShare: boolean;
  readonly virtualStart: number;
}

/** A workspace's requests follow each other in its fair queue. */
function rankWaiting(
  state: FairQueue & { readonly waiting: List<WaitingRequest> },
  plan: AdmissionPlan,
): RankedRequest[] {
  const counts = new Map<string, number>();
  return state.waiting.toArray().sort(compareWithin).map((request) => {
    const { workspace } = request;
    const count = counts.get(workspace) ?? 0;
    counts.set(workspace, count + 1);
    return {
      request,
      isBelowShare: plan.isBelowShare(workspace),
      virtualStart: virtualStartOf(state, workspace) +
        count / plan.partHereOf(workspace),
    };
  });
}

function compareWithin(a: WaitingRequest, b: WaitingRequest): number {
  return Number(a.repeat === "early") - Number(b.repeat === "early") ||
    a.priority - b.priority ||
    REPEAT_RANKS[a.repeat] - REPEAT_RANKS[b.repeat] ||
    a.arrivedAtMs - b.arrivedAtMs;
}

function compareRanked(a: RankedRequest, b: RankedRequest): number {
  return Number(a.request.repeat === "early") -
      Number(b.request.repeat === "early") ||
    Number(b.isBelowShare) - Number(a.isBelowShare) ||
    a.request.priority - b.request.priority ||
    a.virtualStart - b.virtualStart ||
    compareWithin(a.request, b.request);
}

function leastUrgentOf(
  order: readonly WaitingRequest[],
): WaitingRequest | undefined {
  let least: WaitingRequest | undefined;
  for (const request of order) {
    if (request.repeat === "early") continue;
    if (least === undefined || request.priority > least.priority) {
      least = request;
    }
  }
  return least;
}
