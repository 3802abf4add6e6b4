/**
 * The backend servers as this VM uses them: the roster joined with health, load
 * and work in flight. Servers with the same id but another birth are different
 * servers, and nothing known of the first holds for the second.
 */
import {
  applyHealth,
  type BackendCandidate,
  type BackendHealth,
  failureShareOf,
  type HealthEvent,
  isPassing,
  isProbeNeeded,
  type Roster,
  UNKNOWN_HEALTH,
} from "../decision/mod.ts";
import { type BackendServer, type Clock } from "../model/mod.ts";
import { type BackendLoad } from "./protocol.ts";

/** A server with work in flight and no sign of life for so long is suspect. */
export const SUSPECT_SILENCE_MS = 700;
/** A load report older than this no longer counts. */
const LOAD_MAX_AGE_MS = 1500;
/** Weight of the newest request in the mean time of a service's work. */
const WORK_WEIGHT = 0.05;
const FIRST_WORK_MS = 50;
/** Within this the first byte of an answer is expected from an idle server. */
const USUAL_FIRST_BYTE_MS = 200;
/** Another VM's word holds no longer. */
const MAX_BUSY_MS = 5000;
const NO_VERSIONS: ReadonlySet<string> = new Set();

interface BackendState {
  readonly server: BackendServer;
  health: BackendHealth;
  inFlightCount: number;
  /** Since when nothing was heard while work was in flight. */
  quietSinceMs: number;
  load: BackendLoad | undefined;
  loadAtMs: number;
  /** Requests without a first byte, oldest first. */
  readonly pending: Set<PendingRequest>;
  /** Until when another VM's long prompt keeps the server busy. */
  busyUntilMs: number;
}

interface PendingRequest {
  readonly sinceMs: number;
  /** How long its prompt keeps the server busy. */
  readonly prefillMs: number;
}

/** A server that may be chosen. */
export interface FleetCandidate extends BackendCandidate {
  readonly server: BackendServer;
}

/** Which servers are sought. */
export interface FleetQuery {
  readonly service: string;
  readonly acceptsVersion: (version: string) => boolean;
  readonly excludedIds: ReadonlySet<string>;
  /** Whether a server that was down may be tested with this request. */
  readonly mayProbe: boolean;
}

/** The servers of all services. */
export class BackendFleet {
  readonly #clock: Clock;
  #byService = new Map<string, BackendState[]>();
  #readyVersions = new Map<string, Set<string>>();
  #states = new Map<string, BackendState>();
  readonly #workMs = new Map<string, number>();

  constructor(options: { readonly clock: Clock }) {
    this.#clock = options.clock;
  }

  /** Takes over what is registered now. */
  update(roster: Roster): void {
    const states = new Map<string, BackendState>();
    const byService = new Map<string, BackendState[]>();
    const readyVersions = new Map<string, Set<string>>();
    for (const { server } of roster.entries.values()) {
      const state = this.#stateOf(server);
      states.set(server.id, state);
      const group = byService.get(server.service) ?? [];
      group.push(state);
      byService.set(server.service, group);
      if (server.status !== "ready") continue;
      const versions = readyVersions.get(server.service) ?? new Set();
      versions.add(server.version);
      readyVersions.set(server.service, versions);
    }
    this.#states = states;
    this.#byService = byService;
    this.#readyVersions = readyVersions;
  }

  /** The servers registered for a service, in any state. */
  serversOf(service: string): BackendServer[] {
    return (this.#byService.get(service) ?? []).map(({ server }) => server);
  }

  /** The versions of a service that some server is ready to run. */
  readyVersionsOf(service: string): ReadonlySet<string> {
    return this.#readyVersions.get(service) ?? NO_VERSIONS;
  }

  /** Servers that may get a request. */
  candidates(query: FleetQuery): FleetCandidate[] {
    const nowMs = this.#clock();
    const found: FleetCandidate[] = [];
    for (const state of this.#byService.get(query.service) ?? []) {
      const { server } = state;
      if (server.status !== "ready") continue;
      if (!query.acceptsVersion(server.version)) continue;
      if (query.excludedIds.has(server.id)) continue;
      found.push(candidateOf(state, { nowMs, mayProbe: query.mayProbe }));
    }
    return found;
  }

  /** Counts a request that goes to a server now. */
  trackRequest(server: BackendServer, prefillMs = 0): InFlightRequest {
    const state = this.#states.get(server.id) ?? newState(server);
    const nowMs = this.#clock();
    const pending: PendingRequest = { sinceMs: nowMs, prefillMs };
    state.pending.add(pending);
    if (isProbeNeeded(state.health)) {
      state.health = applyHealth(state.health, "probe_sent", nowMs);
    }
    if (state.inFlightCount === 0) state.quietSinceMs = nowMs;
    state.inFlightCount += 1;
    return new InFlightRequest(state, pending, this.#clock);
  }

  /** Another VM has sent a server a long prompt. */
  markBusy(id: string, forMs: number): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    const nowMs = this.#clock();
    const busyMs = Math.min(MAX_BUSY_MS, forMs);
    state.busyUntilMs = Math.max(nowMs, state.busyUntilMs) + busyMs;
  }

  /** Learns how long a request of a service takes. */
  recordServiceTime(service: string, durationMs: number): void {
    const before = this.#workMs.get(service) ?? FIRST_WORK_MS;
    this.#workMs.set(service, before + WORK_WEIGHT * (durationMs - before));
  }

  /** How long a request of a service takes, on the mean. */
  meanServiceTimeMs(service: string): number {
    return this.#workMs.get(service) ?? FIRST_WORK_MS;
  }

  #stateOf(server: BackendServer): BackendState {
    const known = this.#states.get(server.id);
    if (known === undefined) return newState(server);
    const isSame =
      known.server.processStartedAtMs === server.processStartedAtMs &&
      known.server.address === server.address;
    if (!isSame) return newState(server);
    return Object.assign(known, { server });
  }
}

/** One request at one server. */
export class InFlightRequest {
  readonly #state: BackendState;
  readonly #pending: PendingRequest;
  readonly #clock: Clock;
  #isOver = false;

  constructor(state: BackendState, pending: PendingRequest, clock: Clock) {
    this.#state = state;
    this.#pending = pending;
    this.#clock = clock;
  }

  /** The server sent something. */
  recordActivity(): void {
    this.#state.quietSinceMs = this.#clock();
    this.#state.pending.delete(this.#pending);
  }

  /** The server said how much it has to do. */
  recordLoad(load: BackendLoad): void {
    this.#state.load = load;
    this.#state.loadAtMs = this.#clock();
  }

  /** The request has ended; no event where it says nothing of the server. */
  end(event: HealthEvent | undefined): void {
    if (this.#isOver) return;
    this.#isOver = true;
    const state = this.#state;
    state.pending.delete(this.#pending);
    state.inFlightCount -= 1;
    if (event === undefined) return;
    state.health = applyHealth(state.health, event, this.#clock());
  }
}

function newState(server: BackendServer): BackendState {
  return {
    server,
    health: UNKNOWN_HEALTH,
    inFlightCount: 0,
    quietSinceMs: 0,
    load: undefined,
    loadAtMs: 0,
    pending: new Set(),
    busyUntilMs: 0,
  };
}

function candidateOf(
  state: BackendState,
  options: { readonly nowMs: number; readonly mayProbe: boolean },
): FleetCandidate {
  const { server, health } = state;
  const { nowMs, mayProbe } = options;
  const isSilent = state.inFlightCount > 0 &&
    nowMs - state.quietSinceMs > SUSPECT_SILENCE_MS;
  const isUntested = isProbeNeeded(health) && !mayProbe;
  return {
    id: server.id,
    server,
    place: server.place,
    loadCount: loadCountOf(state, nowMs),
    waitMs: waitMsOf(state, nowMs),
    slotCount: server.slotCount,
    failureShare: failureShareOf(health, nowMs),
    isSuspect: isSilent || isUntested || !isPassing(health, nowMs),
  };
}

/** How long a request would wait for the prompts before it. */
function waitMsOf(state: BackendState, nowMs: number): number {
  let waitMs = Math.max(0, state.busyUntilMs - nowMs);
  for (const { prefillMs } of state.pending) waitMs += prefillMs;
  const [oldest] = state.pending;
  if (oldest === undefined) return waitMs;
  // What has kept a request waiting so far keeps the next one waiting, too.
  const ageMs = nowMs - oldest.sinceMs - USUAL_FIRST_BYTE_MS;
  return Math.max(waitMs, ageMs);
}

function loadCountOf(state: BackendState, nowMs: number): number {
  const { load, loadAtMs, inFlightCount } = state;
  if (load === undefined || nowMs - loadAtMs > LOAD_MAX_AGE_MS) {
    return inFlightCount;
  }
  return Math.max(inFlightCount, load.runningCount + load.waitingCount);
}
