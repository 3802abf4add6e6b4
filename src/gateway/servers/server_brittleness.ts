/**
 * Services whose backend servers say that they are brittle, and how many
 * requests this VM may have at each of them. The servers of a service are
 * brittle together, so what one says holds for all, also for one that has just
 * been started again. It ends with an answer that doesn't say so, unless another
 * server still said it a moment ago, or when nothing more is heard of it. VMs
 * pass on what they observe, as not all of them use each server.
 */
import {
  backOff,
  type BrittleBackoff,
  type BrittlePart,
  brittlePartOf,
  type BrittleServer,
  type BrittleVm,
  newerOf,
  NO_BACKOFF,
  type Observation,
  recentObservations,
  restorePermit,
  timeToRestoreMs,
} from "../../decision/mod.ts";
import {
  type BackendServer,
  type Clock,
  type Logger,
} from "../../model/mod.ts";

/** Members change rarely compared with requests. */
const PART_MAX_AGE_MS = 500;
/** Answers and VMs that contradict each other within this time: brittle. */
const HOLD_MS = 1000;
/** Longer than other VMs take to pass it on again. */
const MAX_AGE_MS = 6000;

interface BrittleObservation extends Observation {
  /** `undefined` after an answer that doesn't say brittle. */
  readonly refusalsPerSecond: number | undefined;
}

/** An observation as sent to another VM. */
export interface SharedBrittleness {
  readonly service: string;
  readonly refusalsPerSecond: number | undefined;
  readonly ageMs: number;
  readonly hopCount: number;
}

interface ServerUse {
  readonly backoff: BrittleBackoff;
  readonly part: BrittlePart;
  /** When the part was computed. */
  readonly partAtMs: number;
  /** Until when cancelled requests may still run. */
  readonly cancelledUntilMs: readonly number[];
}

/** What the fleet knows of this VM's requests. */
export interface RequestCounts {
  /** Requests of this VM at a server. */
  readonly inFlightCountOf: (id: string) => number;
  readonly meanServiceTimeMs: (service: string) => number;
}

export interface ServerBrittlenessOptions {
  readonly self: BrittleVm;
  /** The other VMs that are present. */
  readonly otherVms: () => readonly BrittleVm[];
  readonly fleet: RequestCounts;
  readonly clock: Clock;
  readonly logger: Logger;
}

const NEW_USE: ServerUse = {
  backoff: NO_BACKOFF,
  part: { permitCount: 0, userCount: 1 },
  partAtMs: -Infinity,
  cancelledUntilMs: [],
};

/** The brittle services that this VM knows. */
export class ServerBrittleness {
  readonly #options: ServerBrittlenessOptions;
  readonly #observations = new Map<string, BrittleObservation>();
  readonly #uses = new Map<string, ServerUse>();
  readonly #malformedIds = new Set<string>();
  /** Lets requests pass without a look-up while no service is brittle. */
  #isAnyBrittle = false;

  constructor(options: ServerBrittlenessOptions) {
    this.#options = options;
  }

  /** Refusals a second that a service's servers bear, if they are brittle. */
  refusalsPerSecondOf(service: string): number | undefined {
    if (!this.#isAnyBrittle) return undefined;
    const observation = this.#observations.get(service);
    if (observation === undefined) return undefined;
    const ageMs = this.#options.clock() - observation.observedAtMs;
    return ageMs < MAX_AGE_MS ? observation.refusalsPerSecond : undefined;
  }

  /**
   * Time until this VM may send the server a request: 0 if it may now, Infinity
   * if other VMs use all permits, an estimate if its own part is in use.
   */
  waitMs(server: BackendServer): number {
    const brittle = this.#brittleServerOf(server);
    if (brittle === undefined) return 0;
    const { part, backoff, cancelledUntilMs } = this.#useOf(brittle);
    if (part.permitCount === 0) return Infinity;
    const { fleet, clock } = this.#options;
    const nowMs = clock();
    const leftCount = part.permitCount - backoff.missingCount;
    if (leftCount <= 0) {
      return timeToRestoreMs(backoff, { server: brittle, part, nowMs });
    }
    const usedCount = fleet.inFlightCountOf(server.id) +
      cancelledUntilMs.filter((untilMs) => nowMs < untilMs).length;
    if (usedCount < leftCount) return 0;
    return fleet.meanServiceTimeMs(server.service);
  }

  /** Records what an answer says; NaN, which is malformed, changes nothing. */
  record(server: BackendServer, refusalsPerSecond: number | undefined): void {
    if (refusalsPerSecond === undefined && !this.#isAnyBrittle) return;
    if (Number.isNaN(refusalsPerSecond)) return this.#logMalformed(server.id);
    this.#apply(server.service, {
      refusalsPerSecond,
      observedAtMs: this.#options.clock(),
      hopCount: 0,
    });
  }

  /** Records that a server had no room for a request. */
  recordRefusal(server: BackendServer): void {
    const brittle = this.#brittleServerOf(server);
    if (brittle === undefined) return;
    const use = this.#useOf(brittle);
    const nowMs = this.#options.clock();
    const backoff = backOff(use.backoff, { part: use.part, nowMs });
    this.#uses.set(server.id, { ...use, backoff });
  }

  /** Records a request that ends here but may go on at its server. */
  recordCancelled(server: BackendServer): void {
    const brittle = this.#brittleServerOf(server);
    if (brittle === undefined) return;
    const { fleet, clock } = this.#options;
    const use = this.#useOf(brittle);
    const nowMs = clock();
    const cancelledUntilMs = [
      ...use.cancelledUntilMs.filter((untilMs) => nowMs < untilMs),
      nowMs + fleet.meanServiceTimeMs(server.service),
    ];
    this.#uses.set(server.id, { ...use, cancelledUntilMs });
  }

  /** Returns recent observations that were passed on `maxHopCount` times. */
  toShare(options: { readonly maxHopCount: number }): SharedBrittleness[] {
    const nowMs = this.#options.clock();
    return recentObservations(this.#observations, { ...options, nowMs }).map(
      ({ id, ageMs, observation }) => ({
        service: id,
        refusalsPerSecond: observation.refusalsPerSecond,
        ageMs,
        hopCount: observation.hopCount,
      }),
    );
  }

  /** Applies the observations that another VM sent. */
  merge(observations: readonly SharedBrittleness[]): void {
    const nowMs = this.#options.clock();
    for (const observation of observations) {
      const { service, refusalsPerSecond, ageMs, hopCount } = observation;
      this.#apply(service, {
        refusalsPerSecond,
        observedAtMs: nowMs - ageMs,
        hopCount: hopCount + 1,
      });
    }
  }

  /** Discards what is old, or of servers that are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    const nowMs = this.#options.clock();
    this.#isAnyBrittle = false;
    for (const [service, observation] of this.#observations) {
      const { observedAtMs, refusalsPerSecond } = observation;
      if (nowMs - observedAtMs >= MAX_AGE_MS) {
        this.#observations.delete(service);
        if (refusalsPerSecond !== undefined) this.#logChange(service);
      } else if (refusalsPerSecond !== undefined) this.#isAnyBrittle = true;
    }
    for (const id of this.#malformedIds) {
      if (!isRegistered(id)) this.#malformedIds.delete(id);
    }
    for (const id of this.#uses.keys()) {
      if (!this.#isAnyBrittle || !isRegistered(id)) this.#uses.delete(id);
    }
  }

  #apply(service: string, next: BrittleObservation): void {
    const before = this.#observations.get(service);
    if (next.refusalsPerSecond === undefined) {
      if (before?.refusalsPerSecond === undefined) return;
      if (next.observedAtMs < before.observedAtMs + HOLD_MS) return;
    }
    const newest = newerOf(before, next);
    this.#observations.set(service, newest);
    if (newest.refusalsPerSecond !== undefined) this.#isAnyBrittle = true;
    if (before?.refusalsPerSecond === newest.refusalsPerSecond) return;
    this.#logChange(service, newest);
  }

  #brittleServerOf(
    { id, service, slotCount }: BackendServer,
  ): BrittleServer | undefined {
    const refusalsPerSecond = this.refusalsPerSecondOf(service);
    return refusalsPerSecond === undefined
      ? undefined
      : { id, slotCount, refusalsPerSecond };
  }

  #useOf(server: BrittleServer): ServerUse {
    const { self, otherVms, clock } = this.#options;
    const nowMs = clock();
    const before = this.#uses.get(server.id) ?? NEW_USE;
    const isRecent = nowMs - before.partAtMs < PART_MAX_AGE_MS;
    const isRestored = before.backoff.missingCount > 0 &&
      timeToRestoreMs(before.backoff, { server, part: before.part, nowMs }) ===
        0;
    if (isRecent && !isRestored) return before;
    const use: ServerUse = {
      ...before,
      backoff: isRestored
        ? restorePermit(before.backoff, nowMs)
        : before.backoff,
      part: isRecent
        ? before.part
        : brittlePartOf(server, { self, others: otherVms() }),
      partAtMs: isRecent ? before.partAtMs : nowMs,
    };
    this.#uses.set(server.id, use);
    return use;
  }

  #logChange(service: string, observation?: BrittleObservation): void {
    this.#options.logger.info("brittle servers changed", {
      service,
      refusalsPerSecond: observation?.refusalsPerSecond,
      hopCount: observation?.hopCount,
    });
  }

  #logMalformed(id: string): void {
    if (this.#malformedIds.has(id)) return;
    this.#malformedIds.add(id);
    this.#options.logger.warn("malformed brittleness", { server: id });
  }
}
