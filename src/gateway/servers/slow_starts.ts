/**
 * The backend servers that have just started or recovered, and what this VM may
 * send each of them. A server has started when its entry is new or names
 * another start of its process while this VM is serving, and has recovered when
 * its breaker closes again or the evacuation of its data centre ends. VMs pass
 * on how far their slow starts are, as with many VMs each sees few answers.
 */
import {
  advanceSlowStart,
  applySlowStart,
  beginSlowStart,
  hasTurn,
  type HealthEvent,
  isLateAnswer,
  joinSlowStart,
  newerOf,
  type Observation,
  recentObservations,
  type Roster,
  type SlowStart,
  type SlowStartEvent,
  slowStartLimit,
  type SlowStartTime,
} from "../../decision/mod.ts";
import {
  type BackendServer,
  type Clock,
  hash32,
  type Logger,
} from "../../model/mod.ts";
import { ServerStarts } from "./server_starts.ts";

/** Longer than a slow start, and than the next one looks back. */
const KEEP_MS = 20_000;
/** Members change rarely compared with requests. */
const VMS_MAX_AGE_MS = 500;
/** Weight of the latest answer in a service's usual time to answer. */
const USUAL_WEIGHT = 0.05;

interface ServerRamp extends Observation {
  readonly processStartedAtMs: number;
  readonly cause: "started" | "recovered" | "evacuation_ended";
  readonly slowStart: SlowStart;
}

/** A slow start as sent to another VM. */
export interface SharedSlowStart {
  readonly id: string;
  readonly processStartedAtMs: number;
  readonly raiseCount: number;
  readonly setbackCount: number;
  readonly ageMs: number;
  readonly hopCount: number;
}

/** What the fleet knows of this VM's requests. */
export interface RequestTimes {
  readonly inFlightCountOf: (id: string) => number;
  readonly meanServiceTimeMs: (service: string) => number;
  readonly meanHoldMs: (service: string) => number;
}

export interface SlowStartsOptions {
  readonly self: { readonly vm: string };
  /** The other VMs that are present. */
  readonly otherVms: () => readonly { readonly vm: string }[];
  readonly fleet: RequestTimes;
  /** Time since the evacuation of a data centre has ended, if it has. */
  readonly evacuationEndedMsAgo: (place: string) => number | undefined;
  /** Services whose servers have permits instead. */
  readonly isBrittle: (service: string) => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The slow starts that this VM knows. */
export class SlowStarts {
  readonly #options: SlowStartsOptions;
  readonly #ramps = new Map<string, ServerRamp>();
  readonly #starts: ServerStarts;
  readonly #failedAtMs = new Map<string, number>();
  readonly #usualMs = new Map<string, number>();
  #entries: Roster["entries"] | undefined;
  #vms: readonly string[] = [];
  #vmsAtMs = -Infinity;

  constructor(options: SlowStartsOptions) {
    this.#options = options;
    this.#starts = new ServerStarts(options);
  }

  /** The number of servers in slow start. */
  get activeCount(): number {
    let count = 0;
    for (const { slowStart } of this.#ramps.values()) {
      if (!slowStart.isEnded) count += 1;
    }
    return count;
  }

  /** Compares the registered servers with those known before. */
  observe(entries: Roster["entries"]): void {
    const nowMs = this.#options.clock();
    for (const id of this.#ramps.keys()) this.#advance(id);
    for (const [id, { slowStart }] of this.#ramps) {
      const isOld = nowMs - slowStart.startedAtMs >= KEEP_MS;
      if (isOld || !entries.has(id)) this.#ramps.delete(id);
    }
    if (entries === this.#entries) return;
    this.#entries = entries;
    for (const { server } of entries.values()) this.#see(server);
    const isRegistered = (id: string): boolean => entries.has(id);
    this.#starts.retain(isRegistered);
    for (const id of this.#failedAtMs.keys()) {
      if (!isRegistered(id)) this.#failedAtMs.delete(id);
    }
  }

  /** Leaves out servers at their limit if another one is open. */
  preferOpen<
    Candidate extends {
      readonly server: BackendServer;
      readonly isSuspect: boolean;
    },
  >(candidates: readonly Candidate[]): readonly Candidate[] {
    for (const { server } of candidates) {
      this.#see(server);
      this.#seeEvacuation(server);
    }
    if (this.#ramps.size === 0) return candidates;
    const open = candidates.filter(({ server }) => !this.isAtLimit(server));
    return open.some(({ isSuspect }) => !isSuspect) ? open : candidates;
  }

  /** Whether a server in slow start gets no request of this VM now. */
  isAtLimit(server: BackendServer): boolean {
    const ramp = this.#activeRampOf(server);
    if (ramp === undefined) return false;
    const { inFlightCount } = this.#limitOf(ramp, server);
    const { fleet } = this.#options;
    const isOpen = hasTurn(ramp.slowStart) &&
      fleet.inFlightCountOf(server.id) < inFlightCount;
    if (!isOpen) this.#apply(server, { kind: "limited" });
    return !isOpen;
  }

  /** Requests a second of all VMs in slow start; `undefined` without one. */
  perSecondOf(server: BackendServer): number | undefined {
    const ramp = this.#activeRampOf(server);
    return ramp && this.#limitOf(ramp, server).perSecond;
  }

  /** Counts a request that is now sent to a server. */
  countRequest(server: BackendServer): void {
    this.#apply(server, { kind: "started" });
  }

  /** Records the first byte of an answer. */
  recordAnswer(
    server: BackendServer,
    { answerMs, prefillMs, isError }: {
      readonly answerMs: number;
      /** The expected prefill of its prompt. */
      readonly prefillMs: number;
      readonly isError: boolean;
    },
  ): void {
    const usualMs = this.#usualMs.get(server.service);
    const sentAtMs = this.#options.clock() - answerMs;
    if (this.#activeRampOf(server) !== undefined) {
      const expectedMs = usualMs && Math.max(usualMs, prefillMs);
      const isLate = expectedMs !== undefined &&
        isLateAnswer(answerMs, expectedMs);
      const kind = isError ? "refused" : isLate ? "late" : "in_time";
      return this.#apply(server, { kind, sentAtMs });
    }
    if (isError) return;
    const beforeMs = usualMs ?? answerMs;
    this.#usualMs.set(
      server.service,
      beforeMs + USUAL_WEIGHT * (answerMs - beforeMs),
    );
  }

  /** Records the end of a request for its server's health. */
  recordEnd(
    server: BackendServer,
    { event, sentAtMs, isProbe }: {
      readonly event: HealthEvent;
      readonly sentAtMs: number;
      /** Whether the breaker was open until now. */
      readonly isProbe: boolean;
    },
  ): void {
    if (event === "full") {
      return this.#apply(server, { kind: "refused", sentAtMs });
    }
    if (event === "broken" || event === "down") {
      this.#failedAtMs.set(server.id, this.#options.clock());
      return this.#apply(server, { kind: "broke", sentAtMs });
    }
    if (isProbe && event !== "probe_sent") this.#begin(server, "recovered");
  }

  /** Returns recent slow starts that were passed on `maxHopCount` times. */
  toShare(options: { readonly maxHopCount: number }): SharedSlowStart[] {
    const nowMs = this.#options.clock();
    return recentObservations(this.#ramps, { ...options, nowMs }).map(
      ({ id, ageMs, observation }) => ({
        id,
        processStartedAtMs: observation.processStartedAtMs,
        raiseCount: observation.slowStart.raiseCount,
        setbackCount: observation.slowStart.setbackCount,
        ageMs,
        hopCount: observation.hopCount,
      }),
    );
  }

  /** Applies what another VM knows to the slow starts of this one. */
  merge(shared: readonly SharedSlowStart[]): void {
    const time = this.#time();
    for (
      const { id, processStartedAtMs, ageMs, hopCount, ...stage } of shared
    ) {
      const ramp = this.#ramps.get(id);
      if (ramp?.processStartedAtMs !== processStartedAtMs) continue;
      const observedAtMs = time.nowMs - ageMs;
      const failedAtMs = this.#failedAtMs.get(id) ?? -Infinity;
      // From before the outage.
      if (ramp.cause !== "started" && observedAtMs <= failedAtMs) continue;
      const slowStart = joinSlowStart(ramp.slowStart, stage, time);
      const observation = { observedAtMs, hopCount: hopCount + 1 };
      const newest = newerOf<Observation>(ramp, observation);
      this.#set(id, {
        ...ramp,
        slowStart,
        observedAtMs: newest.observedAtMs,
        hopCount: newest.hopCount,
      });
    }
  }

  #see(server: BackendServer): void {
    if (this.#starts.isNew(server)) this.#begin(server, "started");
  }

  #seeEvacuation(server: BackendServer): void {
    const { evacuationEndedMsAgo, clock } = this.#options;
    const endedMsAgo = evacuationEndedMsAgo(server.place);
    if (endedMsAgo === undefined || endedMsAgo >= KEEP_MS) return;
    const begunAtMs = this.#ramps.get(server.id)?.slowStart.startedAtMs;
    const isBegun = begunAtMs !== undefined &&
      begunAtMs >= clock() - endedMsAgo;
    if (!isBegun) this.#begin(server, "evacuation_ended");
  }

  #begin(server: BackendServer, cause: ServerRamp["cause"]): void {
    const { id, service, processStartedAtMs } = server;
    if (this.#options.isBrittle(service)) return;
    const time = this.#time();
    const { vm } = this.#options.self;
    const rankOf = (name: string): number => hash32(`${id} ${name}`);
    const rank = this.#vms.filter((other) => rankOf(other) < rankOf(vm)).length;
    const previous = this.#ramps.get(id)?.slowStart;
    const slowStart = beginSlowStart({ ...time, rank, previous });
    this.#ramps.set(id, {
      processStartedAtMs,
      cause,
      slowStart,
      observedAtMs: time.nowMs,
      hopCount: 0,
    });
    this.#options.logger.info("server ramping up", {
      server: id,
      service,
      cause,
      vmCount: time.vmCount,
      raisePeriodMs: slowStart.raisePeriodMs,
    });
  }

  #apply(server: BackendServer, event: SlowStartEvent): void {
    const ramp = this.#activeRampOf(server);
    if (ramp === undefined) return;
    const time = this.#time();
    const slowStart = applySlowStart(ramp.slowStart, event, time);
    const isOwnNews = event.kind !== "limited" && event.kind !== "started";
    const seen = isOwnNews ? { observedAtMs: time.nowMs, hopCount: 0 } : {};
    this.#set(server.id, { ...ramp, ...seen, slowStart });
  }

  #activeRampOf(server: BackendServer): ServerRamp | undefined {
    const ramp = this.#advance(server.id);
    if (ramp === undefined || ramp.slowStart.isEnded) return undefined;
    const { processStartedAtMs } = server;
    return ramp.processStartedAtMs === processStartedAtMs ? ramp : undefined;
  }

  #advance(id: string): ServerRamp | undefined {
    const ramp = this.#ramps.get(id);
    if (ramp === undefined || ramp.slowStart.isEnded) return ramp;
    const slowStart = advanceSlowStart(ramp.slowStart, this.#time());
    return this.#set(id, { ...ramp, slowStart });
  }

  #set(id: string, ramp: ServerRamp): ServerRamp {
    const before = this.#ramps.get(id);
    this.#ramps.set(id, ramp);
    const { slowStart, cause } = ramp;
    if (!slowStart.isEnded || before?.slowStart.isEnded === true) return ramp;
    this.#options.logger.info("server up to speed", {
      server: id,
      cause,
      forMs: Math.round(this.#options.clock() - slowStart.startedAtMs),
      raiseCount: slowStart.raiseCount,
      setbackCount: slowStart.setbackCount,
    });
    return ramp;
  }

  #limitOf(
    { slowStart }: ServerRamp,
    { service }: BackendServer,
  ): ReturnType<typeof slowStartLimit> {
    const { fleet } = this.#options;
    const holdMs = Math.max(
      fleet.meanServiceTimeMs(service),
      fleet.meanHoldMs(service),
    );
    return slowStartLimit(slowStart, { ...this.#time(), holdMs });
  }

  #time(): SlowStartTime {
    const nowMs = this.#options.clock();
    if (nowMs - this.#vmsAtMs >= VMS_MAX_AGE_MS) {
      this.#vms = this.#options.otherVms().map(({ vm }) => vm);
      this.#vmsAtMs = nowMs;
    }
    return { nowMs, vmCount: 1 + this.#vms.length };
  }
}
