/** What one VM holds of one backend server, and of its requests there. */
import {
  applyHealth,
  type BackendHealth,
  type EngineKnowledge,
  expectedRequestCount,
  type HealthEvent,
  type LoadObservation,
  type RequestSize,
  smoothedSlowness,
  UNKNOWN_HEALTH,
} from "../../decision/mod.ts";
import {
  type BackendServer,
  type Clock,
  type EngineTraits,
} from "../../model/mod.ts";
import { type BackendLoad } from "../protocol.ts";

/** Usual time until an idle server sends the first byte of an answer. */
const USUAL_FIRST_BYTE_MS = 200;
/** Time of a prompt that other VMs report, for the number of prompts. */
const REPORTED_PREFILL_MS = 300;

/** Means of a service's streams; 0 before the first. */
export interface UsualWork {
  holdMs: number;
  tokens: number;
}

/** The state of one server. */
export interface BackendState {
  readonly server: BackendServer;
  readonly usual: UsualWork;
  health: BackendHealth;
  /** Requests of this VM, oldest first. */
  readonly inFlight: Set<TrackedRequest>;
  /** The tokens of these. */
  inFlightTokens: number;
  /** Those that wait for a first byte, oldest first. */
  readonly pending: Set<TrackedRequest>;
  /** Time of the last activity while requests were in flight. */
  lastActivityAtMs: number;
  /** Time of the last answer or part of one; 0 before the first. */
  lastSignAtMs: number;
  /** The newest load that this VM or another one observed. */
  load: LoadObservation | undefined;
  /** Until when the long prompts of other VMs occupy the server. */
  busyUntilMs: number;
  /** Streams that it has begun with framing, which marks their ends. */
  markedCount: number;
  unmarkedCount: number;
}

export interface TrackedRequest extends RequestSize {
  readonly sinceMs: number;
}

/** Returns the state of a server of which nothing is known. */
export function newBackendState(
  server: BackendServer,
  usual: UsualWork,
): BackendState {
  return {
    server,
    usual,
    health: UNKNOWN_HEALTH,
    inFlight: new Set(),
    inFlightTokens: 0,
    pending: new Set(),
    lastActivityAtMs: 0,
    lastSignAtMs: 0,
    load: undefined,
    busyUntilMs: 0,
    markedCount: 0,
    unmarkedCount: 0,
  };
}

/** How long a new request would wait for the prompts ahead of it. */
export function waitMsOf(state: BackendState, nowMs: number): number {
  let waitMs = Math.max(0, state.busyUntilMs - nowMs);
  for (const { prefillMs } of state.pending) waitMs += prefillMs;
  const [oldest] = state.pending;
  if (oldest === undefined) return waitMs;
  // Whatever delays the oldest request delays the next one as well.
  const ageMs = nowMs - oldest.sinceMs - USUAL_FIRST_BYTE_MS;
  return Math.max(waitMs, ageMs);
}

/** Requests to expect at a server. */
export function loadCountOf(state: BackendState, nowMs: number): number {
  return Math.max(
    state.inFlight.size,
    expectedRequestCount(state.load, nowMs),
  );
}

/** Returns what an engine's estimate is made of. */
export function knowledgeOf(
  state: BackendState,
  engine: EngineTraits,
  nowMs: number,
): EngineKnowledge {
  const { load, inFlight, inFlightTokens, pending, usual } = state;
  const sinceLoadMs = load?.observedAtMs ?? -Infinity;
  let count = 0;
  let sentTokens = 0;
  for (const { sinceMs, tokens } of inFlight) {
    if (sinceMs <= sinceLoadMs) continue;
    count += 1;
    sentTokens += tokens;
  }
  const reportedMs = Math.max(0, state.busyUntilMs - nowMs);
  return {
    batchSize: engine.batchSize,
    memoryTokens: engine.memoryTokens,
    load,
    own: { count: inFlight.size, tokens: inFlightTokens },
    sentSince: { count, tokens: sentTokens },
    prefillCount: pending.size + Math.ceil(reportedMs / REPORTED_PREFILL_MS),
    prefillMs: waitMsOf(state, nowMs),
    usual,
  };
}

/** One request in flight at one server. */
export class InFlightRequest {
  readonly #state: BackendState;
  readonly #request: TrackedRequest;
  readonly #clock: Clock;

  constructor(state: BackendState, request: TrackedRequest, clock: Clock) {
    this.#state = state;
    this.#request = request;
    this.#clock = clock;
    state.inFlight.add(request);
    state.inFlightTokens += request.tokens;
    state.pending.add(request);
  }

  /** Records that the server has sent part of the answer. */
  recordActivity(): void {
    this.#state.lastActivityAtMs = this.#clock();
    this.#state.lastSignAtMs = this.#state.lastActivityAtMs;
    this.#state.pending.delete(this.#request);
  }

  /** Records whether the server marks the end of the stream that it begins. */
  recordStream({ isMarked }: { readonly isMarked: boolean }): void {
    if (isMarked) this.#state.markedCount += 1;
    else this.#state.unmarkedCount += 1;
  }

  /** Records the load that the server reported. */
  recordLoad(load: BackendLoad): void {
    const state = this.#state;
    const nowMs = this.#clock();
    const requestCount = load.runningCount + load.waitingCount;
    const othersCount = Math.max(0, load.runningCount - state.inFlight.size);
    state.load = {
      requestCount,
      slownessPercent: smoothedSlowness(state.load, {
        percent: load.slownessPercent,
        nowMs,
      }),
      promisedTokens: state.inFlightTokens + othersCount * state.usual.tokens,
      observedAtMs: nowMs,
      hopCount: 0,
    };
  }

  /** Ends the request; without an event, the server's health stays as it is. */
  end(event: HealthEvent | undefined): void {
    const state = this.#state;
    if (!state.inFlight.delete(this.#request)) return;
    state.pending.delete(this.#request);
    state.inFlightTokens -= this.#request.tokens;
    if (event === undefined) return;
    state.health = applyHealth(state.health, event, this.#clock());
  }
}
