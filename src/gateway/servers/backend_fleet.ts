/**
 * This VM's view of the backend servers: the roster joined with health, load
 * and requests in flight. A server that was started again under the same id, or
 * has another address, counts as new, and the previous state is discarded.
 */
import {
  applyHealth,
  type BackendCandidate,
  estimate,
  expectedSlowness,
  failureShareOf,
  type HomeKind,
  isPassing,
  isProbeNeeded,
  loadsToShare,
  newerOf,
  receivedLoad,
  type RequestSize,
  type Roster,
  type SharedLoad,
} from "../../decision/mod.ts";
import {
  type BackendServer,
  type Clock,
  type EngineTraits,
} from "../../model/mod.ts";
import { ServerDepartures } from "./server_departures.ts";
import {
  type BackendState,
  InFlightRequest,
  knowledgeOf,
  loadCountOf,
  newBackendState,
  type UsualWork,
  waitMsOf,
} from "./backend_state.ts";

/** A server that sends nothing for this long despite requests is suspect. */
export const SUSPECT_SILENCE_MS = 700;
/** Weight of the latest request in a service's mean service time. */
const SERVICE_TIME_WEIGHT = 0.05;
const INITIAL_SERVICE_TIME_MS = 50;
/** Limit for another VM's report that a server is busy. */
const MAX_REPORTED_BUSY_MS = 5000;
/** Weight of the latest stream in a service's means of time and tokens. */
const USUAL_WEIGHT = 0.05;
const NO_VERSIONS: ReadonlySet<string> = new Set();

/** A server that may be chosen for a request. */
export interface FleetCandidate extends BackendCandidate {
  readonly server: BackendServer;
  /** How much longer work takes there than usually, as a factor. */
  readonly slowness: number;
  /** Absent for a request without a shared prompt. */
  readonly placement?: PromptPlacement;
}

/** What a server is to the prompt of the request that chose it. */
export interface PromptPlacement {
  readonly home: HomeKind;
  /** Common to requests with the same shared prompt and model. */
  readonly affinityKey: string;
}

/** The work of a server, as far as it shows. */
export interface ServerWork {
  readonly loadCount: number;
  /** Age of the newest answer or event that any VM had from it. */
  readonly signAgeMs: number;
  /** How much longer work takes there than usually, as a factor. */
  readonly slowness: number;
}

/** Criteria for candidates. */
export interface FleetQuery {
  readonly service: string;
  readonly acceptsVersion: (version: string) => boolean;
  readonly excludedIds: ReadonlySet<string>;
  /** Whether a server takes a request of this VM now. */
  readonly isOpen: (server: BackendServer) => boolean;
  /** Whether this request may probe a server that was down. */
  readonly mayProbe: boolean;
  /** The service's engine, if the manifest describes one. */
  readonly engine?: EngineTraits | undefined;
  readonly size?: RequestSize;
}

/** The backend servers of all services. */
export class BackendFleet {
  readonly #clock: Clock;
  #byService = new Map<string, BackendState[]>();
  #readyVersions = new Map<string, Set<string>>();
  #states = new Map<string, BackendState>();
  readonly #departures: ServerDepartures;
  readonly #serviceTimesMs = new Map<string, number>();
  readonly #usualWork = new Map<string, UsualWork>();

  constructor(options: { readonly clock: Clock }) {
    this.#clock = options.clock;
    this.#departures = new ServerDepartures(options);
  }

  /** Applies a new roster; keeps the state of servers still in it. */
  update(roster: Roster): void {
    this.#departures.record(this.servers, roster);
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

  /** All registered servers. */
  get servers(): BackendServer[] {
    return [...this.#states.values()].map(({ server }) => server);
  }

  /** Returns a registered server. */
  serverOf(id: string): BackendServer | undefined {
    return this.#states.get(id)?.server;
  }

  /** All servers registered for a service, whatever their status. */
  serversOf(service: string): BackendServer[] {
    return (this.#byService.get(service) ?? []).map(({ server }) => server);
  }

  /** The versions of a service with a ready server at an allowed place. */
  readyVersionsOf(
    service: string,
    allowsPlace?: (place: string) => boolean,
  ): ReadonlySet<string> {
    if (allowsPlace === undefined) {
      return this.#readyVersions.get(service) ?? NO_VERSIONS;
    }
    const versions = new Set<string>();
    for (const { server } of this.#byService.get(service) ?? []) {
      if (server.status !== "ready" || !allowsPlace(server.place)) continue;
      versions.add(server.version);
    }
    return versions;
  }

  /**
   * The versions of a service with a server at an allowed place that is
   * registered, ready or not, or was a moment ago.
   */
  recentVersionsOf(
    service: string,
    allowsPlace = (_place: string): boolean => true,
  ): ReadonlySet<string> {
    const versions = new Set<string>();
    const present = this.serversOf(service);
    const departed = this.#departures.recentOf(service);
    for (const { place, version } of [...present, ...departed]) {
      if (allowsPlace(place)) versions.add(version);
    }
    return versions;
  }

  /** Returns the ready servers that match the query. */
  candidates(query: FleetQuery): FleetCandidate[] {
    const nowMs = this.#clock();
    const candidates: FleetCandidate[] = [];
    const options = { ...query, nowMs };
    for (const state of this.#byService.get(query.service) ?? []) {
      const { server } = state;
      if (server.status !== "ready") continue;
      if (!query.acceptsVersion(server.version)) continue;
      if (query.excludedIds.has(server.id)) continue;
      if (!query.isOpen(server)) continue;
      const candidate = candidateOf(state, options);
      if (hasMemory(candidate, query)) candidates.push(candidate);
    }
    return candidates;
  }

  /** The ready servers of a service, one by one. */
  *readyServers(service: string): Generator<FleetCandidate> {
    const nowMs = this.#clock();
    for (const state of this.#byService.get(service) ?? []) {
      if (state.server.status !== "ready") continue;
      yield candidateOf(state, { nowMs, mayProbe: true });
    }
  }

  /** Requests of this VM at a server. */
  inFlightCountOf(id: string): number {
    return this.#states.get(id)?.inFlight.size ?? 0;
  }

  /** Whether a server's breaker is open, so that a request is a probe. */
  isTripped(id: string): boolean {
    const state = this.#states.get(id);
    return state !== undefined && isProbeNeeded(state.health);
  }

  /**
   * Whether the servers of a server's service and version have begun streams,
   * other than the last one, and none with framing.
   */
  neverMarksEnds(id: string): boolean {
    const server = this.serverOf(id);
    if (server === undefined) return false;
    let unmarkedCount = 0;
    for (const state of this.#byService.get(server.service) ?? []) {
      if (state.server.version !== server.version) continue;
      if (state.markedCount > 0) return false;
      unmarkedCount += state.unmarkedCount;
    }
    return unmarkedCount > 1;
  }

  /** Counts a request that is now sent to a server. */
  trackRequest(
    server: BackendServer,
    size: RequestSize = { tokens: 0, prefillMs: 0 },
  ): InFlightRequest {
    const state = this.#states.get(server.id) ?? this.#newState(server);
    const nowMs = this.#clock();
    if (isProbeNeeded(state.health)) {
      state.health = applyHealth(state.health, "probe_sent", nowMs);
    }
    if (state.inFlight.size === 0) state.lastActivityAtMs = nowMs;
    const { usual } = state;
    if (size.tokens > 0) usual.tokens = meanWith(usual.tokens, size.tokens);
    return new InFlightRequest(state, { ...size, sinceMs: nowMs }, this.#clock);
  }

  /** Records that another VM has sent a long prompt to a server. */
  markBusy(id: string, forMs: number): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    const nowMs = this.#clock();
    const busyMs = Math.min(MAX_REPORTED_BUSY_MS, forMs);
    state.busyUntilMs = Math.max(nowMs, state.busyUntilMs) + busyMs;
  }

  /** Returns recent loads that were passed on at most `maxHopCount` times. */
  sharedLoads(options: { readonly maxHopCount: number }): SharedLoad[] {
    const loads = [...this.#states].map(([id, { load }]) =>
      [id, load] as const
    );
    return loadsToShare(loads, { ...options, nowMs: this.#clock() });
  }

  /** Applies the loads that another VM sent. */
  mergeLoads(loads: readonly SharedLoad[]): void {
    const nowMs = this.#clock();
    for (const load of loads) {
      const state = this.#states.get(load.id);
      if (state === undefined) continue;
      state.load = newerOf(state.load, receivedLoad(load, nowMs));
    }
  }

  /** Adds a request's duration to the mean service time of a service. */
  recordServiceTime(service: string, durationMs: number): void {
    const meanMs = this.#serviceTimesMs.get(service) ?? INITIAL_SERVICE_TIME_MS;
    this.#serviceTimesMs.set(
      service,
      meanMs + SERVICE_TIME_WEIGHT * (durationMs - meanMs),
    );
  }

  /** The mean service time of a service's requests. */
  meanServiceTimeMs(service: string): number {
    return this.#serviceTimesMs.get(service) ?? INITIAL_SERVICE_TIME_MS;
  }

  /** Adds the time that a stream occupied a slot to a service's mean. */
  recordHold(service: string, holdMs: number): void {
    const usual = this.#usualOf(service);
    usual.holdMs = meanWith(usual.holdMs, holdMs);
  }

  /** The mean time that a stream occupies a slot; 0 before the first. */
  meanHoldMs(service: string): number {
    return this.#usualWork.get(service)?.holdMs ?? 0;
  }

  /** What is known of a server at which a request waits. */
  workOf(id: string): ServerWork | undefined {
    const state = this.#states.get(id);
    if (state === undefined) return undefined;
    const nowMs = this.#clock();
    const { load, lastSignAtMs } = state;
    return {
      loadCount: loadCountOf(state, nowMs),
      signAgeMs: nowMs - Math.max(lastSignAtMs, load?.observedAtMs ?? 0),
      slowness: expectedSlowness(load, nowMs),
    };
  }

  #stateOf(server: BackendServer): BackendState {
    const existing = this.#states.get(server.id);
    if (existing === undefined) return this.#newState(server);
    const isSame =
      existing.server.processStartedAtMs === server.processStartedAtMs &&
      existing.server.address === server.address;
    if (!isSame) return this.#newState(server);
    return Object.assign(existing, { server });
  }

  #newState(server: BackendServer): BackendState {
    return newBackendState(server, this.#usualOf(server.service));
  }

  #usualOf(service: string): UsualWork {
    const usual = this.#usualWork.get(service) ?? { holdMs: 0, tokens: 0 };
    this.#usualWork.set(service, usual);
    return usual;
  }
}

/** Returns a mean with one more value; the first is the mean. */
function meanWith(mean: number, value: number): number {
  return mean === 0 ? value : mean + USUAL_WEIGHT * (value - mean);
}

function candidateOf(
  state: BackendState,
  options:
    & { readonly nowMs: number }
    & Pick<FleetQuery, "mayProbe" | "engine" | "size">,
): FleetCandidate {
  const { server, health } = state;
  const { nowMs, mayProbe, engine, size } = options;
  const isSilent = state.inFlight.size > 0 &&
    nowMs - state.lastActivityAtMs > SUSPECT_SILENCE_MS;
  const isUntested = isProbeNeeded(health) && !mayProbe;
  const estimated = engine === undefined || size === undefined
    ? undefined
    : estimate(knowledgeOf(state, engine, nowMs), size, nowMs);
  return {
    id: server.id,
    server,
    place: server.place,
    loadCount: estimated?.requestCount ?? loadCountOf(state, nowMs),
    waitMs: estimated?.waitMs ?? waitMsOf(state, nowMs),
    slotCount: engine?.batchSize ?? server.slotCount,
    estimate: estimated,
    slowness: expectedSlowness(state.load, nowMs),
    failureShare: failureShareOf(health, nowMs),
    isSuspect: isSilent || isUntested || !isPassing(health, nowMs),
  };
}

/** Whether the server may be promised the request's tokens. */
function hasMemory(
  { estimate }: FleetCandidate,
  { size }: FleetQuery,
): boolean {
  return estimate === undefined || size === undefined ||
    size.tokens <= estimate.freeTokens;
}
