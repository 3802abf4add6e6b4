/**
 * The request limits that backend servers name in their answers, and this VM's
 * part of each. A limit holds from the first answer with it until one without
 * it, for one start of the server's process. VMs pass on what they observe, as
 * only some of them use a limited server and see when its limit ends.
 */
import {
  type LimitedVms,
  namedLimit,
  newerOf,
  type Observation,
  recentObservations,
} from "../../decision/mod.ts";
import {
  type BackendServer,
  type Clock,
  type Logger,
} from "../../model/mod.ts";
import { DividedUses } from "./divided_uses.ts";

interface LimitObservation extends Observation {
  /** `undefined` after an answer without a limit. */
  readonly limitPerSecond: number | undefined;
  readonly processStartedAtMs: number;
}

/** An observation as sent to another VM. */
export interface SharedLimit {
  readonly id: string;
  readonly processStartedAtMs: number;
  readonly limitPerSecond: number | undefined;
  readonly ageMs: number;
  readonly hopCount: number;
}

export interface ServerLimitsOptions {
  readonly vms: () => LimitedVms;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The limits that this VM knows. */
export class ServerLimits {
  readonly #options: ServerLimitsOptions;
  readonly #observations = new Map<string, LimitObservation>();
  readonly #uses: DividedUses;
  readonly #malformedIds = new Set<string>();

  constructor(options: ServerLimitsOptions) {
    this.#options = options;
    const { vms, clock } = options;
    this.#uses = new DividedUses({ vms, limitFor: namedLimit, clock });
  }

  /** The limit in force at a server; `undefined` without one. */
  limitOf({ id, processStartedAtMs }: BackendServer): number | undefined {
    const observation = this.#observations.get(id);
    return observation?.processStartedAtMs === processStartedAtMs
      ? observation.limitPerSecond
      : undefined;
  }

  /** Time until this VM may send the server a request; 0 if it may now. */
  waitMs(server: BackendServer): number {
    const perSecond = this.limitOf(server);
    return perSecond === undefined ? 0 : this.#uses.waitMs({
      server,
      perSecond,
    });
  }

  /** Counts a request that is now sent to a server. */
  countRequest(server: BackendServer): void {
    const perSecond = this.limitOf(server);
    if (perSecond !== undefined) this.#uses.take({ server, perSecond });
  }

  /** Records an answer's limit; NaN, a malformed one, changes nothing. */
  record(server: BackendServer, limitPerSecond: number | undefined): void {
    const { id, processStartedAtMs } = server;
    if (Number.isNaN(limitPerSecond)) return this.#logMalformed(id);
    const isKnown = this.#observations.has(id);
    if (limitPerSecond === undefined && !isKnown) return;
    this.#apply(id, {
      limitPerSecond,
      processStartedAtMs,
      observedAtMs: this.#options.clock(),
      hopCount: 0,
    });
  }

  /** Returns recent observations that were passed on `maxHopCount` times. */
  toShare(options: { readonly maxHopCount: number }): SharedLimit[] {
    const nowMs = this.#options.clock();
    return recentObservations(this.#observations, { ...options, nowMs }).map(
      ({ id, ageMs, observation }) => ({
        id,
        processStartedAtMs: observation.processStartedAtMs,
        limitPerSecond: observation.limitPerSecond,
        ageMs,
        hopCount: observation.hopCount,
      }),
    );
  }

  /** Applies the observations that another VM sent. */
  merge(limits: readonly SharedLimit[]): void {
    const nowMs = this.#options.clock();
    for (const { id, ageMs, hopCount, ...limit } of limits) {
      this.#apply(id, {
        ...limit,
        observedAtMs: nowMs - ageMs,
        hopCount: hopCount + 1,
      });
    }
  }

  /** Discards what is known of servers that are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    for (const known of [this.#observations, this.#malformedIds]) {
      for (const id of known.keys()) if (!isRegistered(id)) known.delete(id);
    }
    for (const id of this.#uses.ids) {
      if (!isRegistered(id)) this.#uses.forget(id);
    }
  }

  #apply(id: string, next: LimitObservation): void {
    const before = this.#observations.get(id);
    const newest = newerOf(before, next);
    this.#observations.set(id, newest);
    const isSameProcess =
      before?.processStartedAtMs === newest.processStartedAtMs;
    const { limitPerSecond } = newest;
    if (isSameProcess && before?.limitPerSecond === limitPerSecond) return;
    if (limitPerSecond === undefined || !isSameProcess) this.#uses.forget(id);
    if (limitPerSecond !== undefined) this.#uses.begin(id);
    this.#options.logger.info("server limit changed", {
      server: id,
      limitPerSecond,
      before: before?.limitPerSecond,
      hopCount: newest.hopCount,
    });
  }

  #logMalformed(id: string): void {
    if (this.#malformedIds.has(id)) return;
    this.#malformedIds.add(id);
    this.#options.logger.warn("malformed server limit", { server: id });
  }
}
