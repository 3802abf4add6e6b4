/**
 * Backend servers that are cold, and this VM's part of the requests that all VMs
 * may send them. A server is cold by its entry, its health answers and what
 * other VMs pass on; also after a VM failed to reach it, and when its entry is
 * new or of another start while this VM was already serving. A service without
 * a cold figure has no cold servers.
 */
import {
  type ColdBound,
  coldLimit,
  type LimitedServer,
  type LimitedVms,
  type LimitShare,
} from "../../decision/mod.ts";
import {
  type BackendServer,
  type Clock,
  hashShare,
  type Logger,
  type ServiceTraits,
} from "../../model/mod.ts";
import { ColdObservations, type SharedCold } from "./cold_observations.ts";
import {
  DividedUses,
  type LentShare,
  type LimitedUse,
  type WantedShare,
} from "./divided_uses.ts";

const SECOND_MS = 1000;

export interface ColdServersOptions {
  readonly vms: () => LimitedVms;
  readonly traitsOf: (service: string) => ServiceTraits | undefined;
  readonly bound: ColdBound;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class ColdServers {
  readonly #options: ColdServersOptions;
  readonly #observations: ColdObservations;
  readonly #uses: DividedUses;

  constructor(options: ColdServersOptions) {
    this.#options = options;
    const { vms, bound, clock } = options;
    this.#observations = new ColdObservations({
      ...options,
      onWarm: (id) => this.#uses.forget(id),
      onGone: (id) => this.#uses.discard(id),
    });
    this.#uses = new DividedUses({
      vms,
      limitFor: (coldPerSecond, memberCount) =>
        coldLimit({ coldPerSecond, bound }, memberCount),
      firstTokens: (server, context) => this.#firstTokens(server, context),
      clock,
    });
  }

  /** How much longer a server counts as cold; Infinity if that is unknown. */
  leftMs(server: BackendServer): number {
    return this.#observations.leftMs(server);
  }

  /** The number of servers that count as cold. */
  get coldCount(): number {
    return this.#observations.coldCount;
  }

  /** Time until this VM may send the server a request; 0 if it may now. */
  waitMs(server: BackendServer): number {
    const perSecond = this.#coldPerSecond(server);
    return perSecond === undefined ? 0 : this.#uses.waitMs({
      server,
      perSecond,
    });
  }

  /** Counts a request that is now sent to a server. */
  countRequest(server: BackendServer): void {
    if (!this.#isColdService(server.service)) return;
    const perSecond = this.#coldPerSecond(server);
    if (perSecond !== undefined) this.#uses.take({ server, perSecond });
    else this.#uses.noteSent(server.id);
  }

  /** Records that no connection to a server could be established. */
  recordUnreached(server: BackendServer): void {
    // Neither this request nor the earlier ones are at the next process.
    this.#uses.giveBack(server.id);
    this.#observations.recordUnreached(server);
  }

  /** Records that an answer broke off, as when the server's process ends. */
  recordBreak(server: BackendServer): void {
    this.#observations.recordBreak(server);
  }

  /** Records an answer, and how much longer the server says to be cold. */
  recordAnswer(
    server: BackendServer,
    answer: {
      readonly coldLeftMs: number | undefined;
      readonly sentAtMs: number;
    },
  ): void {
    this.#observations.recordAnswer(server, answer);
  }

  /** Applies the entries of all registered servers. */
  recordEntries(servers: readonly BackendServer[]): void {
    this.#observations.recordEntries(servers);
  }

  /** The servers of which this VM needs a larger share. */
  wantedShares(): WantedShare[] {
    return this.#uses.wantedShares();
  }

  /** Lends this VM's share of a server if it is unused. */
  lendShare(id: string, borrower: string): number | undefined {
    const limited = this.#limitedOf(id);
    return limited === undefined
      ? undefined
      : this.#uses.lendShare(limited, borrower);
  }

  /** Adds a share of a server that another VM lends. */
  borrowShare(id: string, lent: LentShare): void {
    const limited = this.#limitedOf(id);
    if (limited !== undefined) this.#uses.borrowShare(limited, lent);
  }

  /** Returns recent observations that were passed on `maxHopCount` times. */
  toShare(options: { readonly maxHopCount: number }): SharedCold[] {
    return this.#observations.toShare(options);
  }

  /** Applies the observations that another VM sent. */
  merge(observations: readonly SharedCold[]): void {
    this.#observations.merge(observations);
  }

  /** Discards what is old, or of servers that are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    this.#observations.retain(isRegistered);
  }

  #limitedOf(id: string): LimitedUse | undefined {
    const server = this.#observations.serverOf(id);
    if (server === undefined) return undefined;
    const perSecond = this.#coldPerSecond(server);
    return perSecond === undefined ? undefined : { server, perSecond };
  }

  /** The rate that a server bears, if it is cold. */
  #coldPerSecond(server: BackendServer): number | undefined {
    if (this.leftMs(server) === 0) return undefined;
    return this.#options.traitsOf(server.service)?.coldPerSecond;
  }

  #isColdService(service: string): boolean {
    return this.#options.traitsOf(service)?.coldPerSecond !== undefined;
  }

  /**
   * Spreads the first tokens of the VMs over the time of one, so that a server
   * gets its rate early and not all at once. What this VM sent before it knew
   * the server to be cold counts.
   */
  #firstTokens(
    server: LimitedServer,
    { share, sinceSentMs }: {
      readonly share: LimitShare;
      readonly sinceSentMs: number;
    },
  ): number {
    if (share.perSecond === 0) return 0;
    const { self } = this.#options.vms();
    return Math.min(
      hashShare(`${self.vm} ${server.id}`),
      share.perSecond * sinceSentMs / SECOND_MS,
    );
  }
}
