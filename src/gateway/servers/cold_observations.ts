/**
 * What this VM knows of how cold backend servers are: by their entries and
 * answers, by connections that failed, and by what other VMs pass on. The newest
 * observation of a server wins.
 */
import {
  coldLeftMs,
  type ColdState,
  countFromAnswer,
  newerCold,
  recentObservations,
  revertUnreached,
} from "../../decision/mod.ts";
import {
  type BackendServer,
  type Clock,
  type Logger,
  type ServiceTraits,
} from "../../model/mod.ts";
import { AliveSpans } from "./alive_spans.ts";

/** A server that says to be cold for longer is taken for mistaken. */
const MAX_COLD_MS = 60_000;
/** An entry may have been written this long before it arrives. */
const ENTRY_DELAY_MS = 2000;
/** Kept so that an older observation of another VM changes nothing. */
const KEPT_WARM_MS = 10_000;
/** An entry that comes back within this time is not new. */
const KEPT_GONE_MS = 60_000;
const MAX_LOGGED_IDS = 100;

/** What one VM tells another of a cold server. */
export interface SharedCold {
  readonly id: string;
  readonly processStartedAtMs: number;
  /** `undefined` for a server that could not be reached. */
  readonly remainingMs: number | undefined;
  readonly ageMs: number;
  readonly hopCount: number;
}

/** The newest entry of a server. */
interface KnownEntry {
  readonly server: BackendServer;
  /** When it was last registered. */
  readonly seenAtMs: number;
}

export interface ColdObservationsOptions {
  readonly traitsOf: (service: string) => ServiceTraits | undefined;
  /** Called when a server is no longer cold. */
  readonly onWarm: (id: string) => void;
  /** Called when a server has been gone for some time. */
  readonly onGone: (id: string) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class ColdObservations {
  readonly #options: ColdObservationsOptions;
  readonly #states = new Map<string, ColdState>();
  readonly #entries = new Map<string, KnownEntry>();
  readonly #alive = new AliveSpans();
  readonly #coldIds = new Set<string>();
  readonly #malformedIds = new Set<string>();

  constructor(options: ColdObservationsOptions) {
    this.#options = options;
  }

  /** How much longer a server counts as cold; Infinity if that is unknown. */
  leftMs(server: BackendServer): number {
    const state = this.#states.get(server.id);
    if (state === undefined || !this.#isColdService(server.service)) return 0;
    return coldLeftMs(state, this.#options.clock());
  }

  /** The servers that count as cold. */
  get coldCount(): number {
    let count = 0;
    for (const { server } of this.#entries.values()) {
      if (this.leftMs(server) > 0) count += 1;
    }
    return count;
  }

  /** Returns the newest entry of a server. */
  serverOf(id: string): BackendServer | undefined {
    return this.#entries.get(id)?.server;
  }

  /** Records that no connection to a server could be established. */
  recordUnreached(server: BackendServer): void {
    const traits = this.#options.traitsOf(server.service);
    if (traits?.coldPerSecond === undefined) return;
    this.#alive.end(server.id);
    this.#applyUnreached(server, {
      observedAtMs: this.#options.clock(),
      hopCount: 0,
    });
  }

  /** Records that an answer broke off, as when the server's process ends. */
  recordBreak(server: BackendServer): void {
    this.#alive.end(server.id);
  }

  /** Records an answer, and how much longer the server says to be cold. */
  recordAnswer(
    server: BackendServer,
    { coldLeftMs, sentAtMs }: {
      readonly coldLeftMs: number | undefined;
      readonly sentAtMs: number;
    },
  ): void {
    if (!this.#isColdService(server.service)) return;
    const nowMs = this.#options.clock();
    this.#alive.add(server.id, { sentAtMs, nowMs });
    if (coldLeftMs !== undefined) {
      return this.#applyStated(server, {
        remainingMs: coldLeftMs,
        phase: "counting",
      });
    }
    const state = this.#states.get(server.id);
    if (state === undefined || state.phase === "counting") return;
    const aliveUntilMs = state.phase === "unreached"
      ? this.#alive.aliveAcross(server.id, state.observedAtMs)
      : undefined;
    const next = aliveUntilMs === undefined
      ? countFromAnswer(state, nowMs)
      : revertUnreached(state, aliveUntilMs);
    this.#apply(server, next);
  }

  /** Applies the entries of all registered servers. */
  recordEntries(servers: readonly BackendServer[]): void {
    const nowMs = this.#options.clock();
    const isServing = this.#entries.size > 0;
    for (const server of servers) {
      const known = this.#entries.get(server.id);
      if (known?.server === server) continue;
      this.#entries.set(server.id, { server, seenAtMs: nowMs });
      this.#applyEntry(server, { before: known?.server, isServing });
    }
  }

  /** Returns recent observations that were passed on `maxHopCount` times. */
  toShare(options: { readonly maxHopCount: number }): SharedCold[] {
    const nowMs = this.#options.clock();
    const states = [...this.#states].filter(([, { phase }]) =>
      phase !== "unused"
    );
    return recentObservations(states, { ...options, nowMs }).map(
      ({ id, ageMs, observation }) => ({
        id,
        processStartedAtMs: observation.processStartedAtMs,
        remainingMs: observation.phase === "unreached"
          ? undefined
          : Math.round(observation.remainingMs),
        ageMs,
        hopCount: observation.hopCount,
      }),
    );
  }

  /** Applies the observations that another VM sent. */
  merge(observations: readonly SharedCold[]): void {
    const nowMs = this.#options.clock();
    for (const { id, ageMs, ...shared } of observations) {
      const server = this.#entries.get(id)?.server;
      if (server === undefined) continue;
      const { remainingMs, processStartedAtMs } = shared;
      const observedAtMs = nowMs - ageMs;
      const hopCount = shared.hopCount + 1;
      if (remainingMs === undefined) {
        this.#applyUnreached(server, { observedAtMs, hopCount });
      } else if (this.#isSound(id, remainingMs)) {
        this.#apply(server, {
          processStartedAtMs,
          remainingMs,
          phase: "counting",
          before: undefined,
          observedAtMs,
          hopCount,
        });
      }
    }
  }

  /** Discards what is old, or of servers that are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    const nowMs = this.#options.clock();
    for (const [id, { server, seenAtMs }] of this.#entries) {
      if (isRegistered(id)) this.#entries.set(id, { server, seenAtMs: nowMs });
      else if (nowMs - seenAtMs >= KEPT_GONE_MS) this.#discard(id);
    }
    for (const [id, state] of this.#states) {
      if (coldLeftMs(state, nowMs) > 0) continue;
      this.#setWarm(id);
      const ageMs = nowMs - state.observedAtMs - state.remainingMs;
      if (ageMs >= KEPT_WARM_MS) this.#states.delete(id);
    }
  }

  #applyEntry(
    server: BackendServer,
    { before, isServing }: {
      readonly before: BackendServer | undefined;
      readonly isServing: boolean;
    },
  ): void {
    const { coldLeftMs, processStartedAtMs } = server;
    const isNew = before?.processStartedAtMs !== processStartedAtMs;
    if (coldLeftMs > 0) {
      return this.#applyStated(server, {
        remainingMs: coldLeftMs,
        phase: "unused",
      });
    }
    const state = this.#states.get(server.id);
    if (isNew && isServing) {
      const traits = this.#options.traitsOf(server.service);
      return this.#applyStated(server, {
        remainingMs: traits?.coldStartMs ?? 0,
        phase: state?.phase === "unreached" ? "unused" : "counting",
      });
    }
    if (state === undefined) return;
    const ageMs = this.#options.clock() - state.observedAtMs;
    const mayBeOlder = state.phase === "unreached" && ageMs < ENTRY_DELAY_MS;
    if (mayBeOlder) return;
    this.#applyStated(server, { remainingMs: 0, phase: "counting" });
  }

  #applyStated(
    server: BackendServer,
    stated: Pick<ColdState, "remainingMs" | "phase">,
  ): void {
    if (!this.#isSound(server.id, stated.remainingMs)) return;
    const isKnown = this.#states.has(server.id);
    if (stated.remainingMs === 0 && !isKnown) return;
    this.#apply(server, {
      ...stated,
      processStartedAtMs: server.processStartedAtMs,
      before: undefined,
      observedAtMs: this.#options.clock(),
      hopCount: 0,
    });
  }

  #applyUnreached(
    server: BackendServer,
    observed: Pick<ColdState, "observedAtMs" | "hopCount">,
  ): void {
    const traits = this.#options.traitsOf(server.service);
    if (traits?.coldPerSecond === undefined) return;
    const current = this.#states.get(server.id);
    const before = current?.phase === "unreached" ? current.before : current;
    const state: ColdState = {
      ...observed,
      processStartedAtMs: server.processStartedAtMs,
      remainingMs: traits.coldStartMs,
      phase: "unreached",
      before,
    };
    const { observedAtMs } = observed;
    const aliveUntilMs = this.#alive.aliveAcross(server.id, observedAtMs);
    if (aliveUntilMs === undefined) return this.#apply(server, state);
    // Only the path between that VM and the server has failed.
    this.#apply(server, revertUnreached(state, aliveUntilMs));
  }

  #apply(server: BackendServer, next: ColdState): void {
    const nowMs = this.#options.clock();
    const before = this.#states.get(server.id);
    const newest = newerCold(before, next, nowMs);
    if (newest === before) return;
    this.#states.set(server.id, newest);
    const isCold = coldLeftMs(newest, nowMs) > 0;
    if (!isCold) return this.#setWarm(server.id);
    if (!this.#isColdService(server.service)) return;
    if (this.#coldIds.has(server.id)) return;
    this.#coldIds.add(server.id);
    this.#options.logger.info("server cold", {
      server: server.id,
      service: server.service,
      phase: newest.phase,
      remainingMs: Math.round(newest.remainingMs),
      hopCount: newest.hopCount,
    });
  }

  #setWarm(id: string): void {
    if (!this.#coldIds.delete(id)) return;
    this.#options.onWarm(id);
    this.#options.logger.info("server no longer cold", { server: id });
  }

  #discard(id: string): void {
    this.#entries.delete(id);
    this.#states.delete(id);
    this.#coldIds.delete(id);
    this.#malformedIds.delete(id);
    this.#alive.end(id);
    this.#options.onGone(id);
  }

  #isColdService(service: string): boolean {
    return this.#options.traitsOf(service)?.coldPerSecond !== undefined;
  }

  #isSound(id: string, remainingMs: number): boolean {
    if (remainingMs >= 0 && remainingMs <= MAX_COLD_MS) return true;
    const isLogged = this.#malformedIds.has(id) ||
      this.#malformedIds.size >= MAX_LOGGED_IDS;
    if (isLogged) return false;
    this.#malformedIds.add(id);
    this.#options.logger.warn("malformed cold time", {
      server: id,
      remainingMs,
    });
    return false;
  }
}
