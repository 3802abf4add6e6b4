/**
 * This VM's tokens for the divided limits of one kind, by server. A share is
 * computed again now and then, as members change rarely compared with requests.
 */
import {
  type DividedLimit,
  emptyBucket,
  giveBackToken,
  type LimitBucket,
  type LimitedServer,
  type LimitedVms,
  type LimitShare,
  NO_SHARE,
  refillBucket,
  shareOf,
  takeToken,
  timeToTokenMs,
} from "../../decision/mod.ts";
import { type Clock } from "../../model/mod.ts";

const SHARE_MAX_AGE_MS = 500;

/** A server with the rate that is divided. */
export interface LimitedUse {
  readonly server: LimitedServer;
  readonly perSecond: number;
}

interface Use {
  readonly bucket: LimitBucket;
  readonly share: LimitShare;
  readonly perSecond: number;
  /** When the share was computed. */
  readonly shareAtMs: number;
}

export interface DividedUsesOptions {
  readonly vms: () => LimitedVms;
  readonly limitFor: (perSecond: number, memberCount: number) => DividedLimit;
  /** Tokens at the first use of a server; none if absent. */
  readonly firstTokens?: (
    server: LimitedServer,
    share: LimitShare,
  ) => number;
  readonly clock: Clock;
}

export class DividedUses {
  readonly #options: DividedUsesOptions;
  readonly #uses = new Map<string, Use>();

  constructor(options: DividedUsesOptions) {
    this.#options = options;
  }

  /** Whether tokens for a server are counted. */
  has(id: string): boolean {
    return this.#uses.has(id);
  }

  /** Ids of the servers whose tokens are counted. */
  get ids(): string[] {
    return [...this.#uses.keys()];
  }

  /** Counts tokens for a server from now on. */
  begin(id: string): void {
    if (this.#uses.has(id)) return;
    const bucket = emptyBucket(this.#options.clock());
    const share = NO_SHARE;
    this.#uses.set(id, { bucket, share, perSecond: NaN, shareAtMs: -Infinity });
  }

  /** Time until this VM may send the server a request; 0 if it may now. */
  waitMs(limited: LimitedUse): number {
    const { bucket, share } = this.#useOf(limited);
    return timeToTokenMs(bucket, share);
  }

  /** Takes the token of a request that is now sent. */
  take(limited: LimitedUse): void {
    const use = this.#useOf(limited);
    const bucket = takeToken(use.bucket);
    this.#uses.set(limited.server.id, { ...use, bucket });
  }

  /** Gives back the token of a request that did not arrive. */
  giveBack(id: string): void {
    const use = this.#uses.get(id);
    if (use === undefined) return;
    this.#uses.set(id, { ...use, bucket: giveBackToken(use.bucket) });
  }

  /** Discards the tokens for a server. */
  forget(id: string): void {
    this.#uses.delete(id);
  }

  #useOf({ server, perSecond }: LimitedUse): Use {
    const nowMs = this.#options.clock();
    const before = this.#uses.get(server.id);
    const isRecent = before?.perSecond === perSecond &&
      nowMs - before.shareAtMs < SHARE_MAX_AGE_MS;
    const share = isRecent ? before.share : this.#shareOf(server, perSecond);
    const bucket = before?.bucket ?? this.#firstBucket(server, share);
    const use: Use = {
      bucket: refillBucket(bucket, { share, nowMs }),
      share,
      perSecond,
      shareAtMs: isRecent ? before.shareAtMs : nowMs,
    };
    this.#uses.set(server.id, use);
    return use;
  }

  #shareOf(server: LimitedServer, perSecond: number): LimitShare {
    const { vms, limitFor } = this.#options;
    return shareOf(
      (memberCount) => limitFor(perSecond, memberCount),
      { server, ...vms() },
    );
  }

  #firstBucket(server: LimitedServer, share: LimitShare): LimitBucket {
    const { clock, firstTokens, vms } = this.#options;
    const bucket = emptyBucket(clock());
    if (firstTokens === undefined) return bucket;
    if (vms().others === undefined) return bucket;
    return { ...bucket, tokenCount: firstTokens(server, share) };
  }
}
