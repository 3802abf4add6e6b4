/**
 * Admission control: limits the number of concurrent requests and orders the
 * waiting ones. Urgent classes are admitted first, but every eighth grant goes
 * to the least urgent waiting class, so that reviews are never starved. Within
 * a class, workspaces share capacity by weight (start-time fair queueing). A
 * request that cannot start before its deadline is refused at once.
 */
import { List, Map as PersistentMap } from "immutable";
import { REQUEST_CLASSES, type RequestClass } from "../model/mod.ts";
import {
  type AdmissionState,
  advanceFairQueue,
  type Arrival,
  nextArrival,
} from "./admission_order.ts";

/** Queue limits of one VM. */
export interface AdmissionLimits {
  readonly queueLimit: number;
  readonly workspaceQueueLimit: number;
  /** Bounds of the retry delay sent to a refused caller. */
  readonly minRetryAfterMs: number;
  readonly maxRetryAfterMs: number;
}

/** Events that change the admission state. */
export type AdmissionEvent =
  | { readonly kind: "arrive"; readonly arrival: Arrival }
  | { readonly kind: "leave"; readonly requestId: string }
  | { readonly kind: "capacity"; readonly runningLimit: number }
  | { readonly kind: "tick" };

/** The decision on one request. */
export type AdmissionEffect =
  | { readonly kind: "admit"; readonly requestId: string }
  | {
    readonly kind: "refuse";
    readonly requestId: string;
    readonly reason: "overloaded" | "deadline_exceeded";
    readonly retryAfterMs: number;
  };

/** The state after an event and the resulting effects. */
export interface AdmissionStep {
  readonly state: AdmissionState;
  readonly effects: readonly AdmissionEffect[];
}

/** The time of an event and the limits that apply to it. */
export interface AdmissionOptions {
  readonly nowMs: number;
  readonly limits: AdmissionLimits;
}

const INITIAL_MEAN_RUN_MS = 1000;
const SMOOTHING_SHARE = 0.05;

/** Queue limits of an entry VM. */
export const DEFAULT_ADMISSION_LIMITS: AdmissionLimits = {
  queueLimit: 1000,
  workspaceQueueLimit: 300,
  minRetryAfterMs: 200,
  maxRetryAfterMs: 30_000,
};

/** Creates the state of an idle VM that runs up to `runningLimit` requests. */
export function createAdmission(runningLimit: number): AdmissionState {
  return {
    runningLimit,
    running: PersistentMap(),
    waiting: List(),
    virtualFinishTimes: PersistentMap(),
    virtualTime: 0,
    grantCount: 0,
    meanRunMs: INITIAL_MEAN_RUN_MS,
  };
}

/** Applies an event, then admits waiting requests to free capacity in order. */
export function applyAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  options: AdmissionOptions,
): AdmissionStep {
  if (event.kind === "arrive") return arrive(state, event.arrival, options);
  if (event.kind === "leave") {
    return grant(leave(state, event.requestId, options.nowMs), options);
  }
  if (event.kind === "capacity") {
    return grant({ ...state, runningLimit: event.runningLimit }, options);
  }
  return grant(state, options);
}

/** Expected wait of a new request of this class. */
export function expectedWaitMs(
  state: AdmissionState,
  requestClass: RequestClass,
): number {
  const rank = REQUEST_CLASSES.indexOf(requestClass);
  const aheadCount = state.waiting.count((queued) =>
    REQUEST_CLASSES.indexOf(queued.requestClass) <= rank
  );
  const freeCount = state.runningLimit - state.running.size;
  const queuedCount = Math.max(0, aheadCount + 1 - Math.max(0, freeCount));
  return queuedCount * state.meanRunMs / Math.max(1, state.runningLimit);
}

function arrive(
  state: AdmissionState,
  arrival: Arrival,
  options: AdmissionOptions,
): AdmissionStep {
  const waitMs = expectedWaitMs(state, arrival.requestClass);
  const refusal = refusalOf(state, arrival, { ...options, waitMs });
  if (refusal !== undefined) {
    const step = grant(state, options);
    return { state: step.state, effects: [refusal, ...step.effects] };
  }
  return grant({ ...state, waiting: state.waiting.push(arrival) }, options);
}

function refusalOf(
  state: AdmissionState,
  arrival: Arrival,
  options: AdmissionOptions & { readonly waitMs: number },
): AdmissionEffect | undefined {
  const { limits, nowMs, waitMs } = options;
  const ownCount = state.waiting.count((queued) =>
    queued.workspace === arrival.workspace
  );
  const isFull = state.waiting.size >= limits.queueLimit ||
    ownCount >= limits.workspaceQueueLimit;
  if (!isFull && nowMs + waitMs <= arrival.startByMs) return undefined;
  return refuse(arrival, "overloaded", { limits, waitMs });
}

function refuse(
  arrival: Arrival,
  reason: "overloaded" | "deadline_exceeded",
  options: { readonly limits: AdmissionLimits; readonly waitMs: number },
): AdmissionEffect {
  const { limits, waitMs } = options;
  const retryAfterMs = Math.min(
    limits.maxRetryAfterMs,
    Math.max(limits.minRetryAfterMs, Math.ceil(waitMs)),
  );
  return { kind: "refuse", requestId: arrival.requestId, reason, retryAfterMs };
}

function leave(
  state: AdmissionState,
  requestId: string,
  nowMs: number,
): AdmissionState {
  const run = state.running.get(requestId);
  if (run === undefined) {
    const waiting = state.waiting.filter((queued) =>
      queued.requestId !== requestId
    );
    return { ...state, waiting };
  }
  const ranMs = nowMs - run.startedAtMs;
  return {
    ...state,
    running: state.running.delete(requestId),
    meanRunMs: state.meanRunMs + SMOOTHING_SHARE * (ranMs - state.meanRunMs),
  };
}

function grant(
  start: AdmissionState,
  options: AdmissionOptions,
): AdmissionStep {
  const expired = expire(start, options);
  const effects: AdmissionEffect[] = [...expired.effects];
  let state = expired.state;
  while (state.running.size < state.runningLimit) {
    const next = nextArrival(state);
    if (next === undefined) break;
    state = admit(state, next, options.nowMs);
    effects.push({ kind: "admit", requestId: next.requestId });
  }
  return { state, effects };
}

function expire(
  state: AdmissionState,
  options: AdmissionOptions,
): AdmissionStep {
  const isLate = (queued: Arrival): boolean => queued.startByMs < options.nowMs;
  const late = state.waiting.filter(isLate);
  if (late.isEmpty()) return { state, effects: [] };
  const effects = late.toArray().map((queued) =>
    refuse(queued, "deadline_exceeded", {
      limits: options.limits,
      waitMs: expectedWaitMs(state, queued.requestClass),
    })
  );
  return {
    state: { ...state, waiting: state.waiting.filterNot(isLate) },
    effects,
  };
}

function admit(
  state: AdmissionState,
  arrival: Arrival,
  nowMs: number,
): AdmissionState {
  const { workspace, fairWeight } = arrival;
  return {
    ...state,
    ...advanceFairQueue(state, { workspace, cost: 1 / fairWeight }),
    running: state.running.set(arrival.requestId, {
      arrival,
      startedAtMs: nowMs,
    }),
    waiting: state.waiting.filter((queued) => queued !== arrival),
    grantCount: state.grantCount + 1,
  };
}
