/**
 * Limits each workspace to its tokens per second on this VM with a token bucket
 * that allows a burst. The number of buckets is bounded. The least recently
 * updated one is evicted: it is the most likely to be full again, and a missing
 * bucket counts as full.
 */
import {
  type Clock,
  notRun,
  type Refusal,
  type SettingsPath,
} from "../model/mod.ts";

/** The tokens that a request is expected to use. */
export interface TokenCharge {
  readonly workspace: SettingsPath;
  readonly tokens: number;
  /** Rate limit of the workspace in tokens per second. */
  readonly rate: number;
}

interface Bucket {
  readonly balance: number;
  readonly updatedAtMs: number;
}

const BURST_SECONDS = 10;
const MAX_WORKSPACES = 10_000;
const MS_PER_SECOND = 1000;

/** Token buckets, one for each workspace. */
export class TokenMeter {
  readonly #clock: Clock;
  readonly #buckets = new Map<SettingsPath, Bucket>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Charges a request, or returns a refusal with a retry delay if the balance
   * is used up. A charge may overdraw the balance.
   */
  charge(charge: TokenCharge): Refusal | undefined {
    if (charge.tokens === 0) return undefined;
    const balance = this.#balanceOf(charge);
    if (balance <= 0) {
      return notRun("overloaded", {
        detail: "the workspace has used up its tokens per second",
        retryAfterMs: Math.ceil(
          (1 - balance) / Math.max(1, charge.rate) * MS_PER_SECOND,
        ),
      });
    }
    this.#set(charge.workspace, balance - charge.tokens);
    return undefined;
  }

  /** Refunds the charge of a request that did not run. */
  refund(charge: TokenCharge): void {
    if (charge.tokens === 0) return;
    this.#set(charge.workspace, this.#balanceOf(charge) + charge.tokens);
  }

  #balanceOf({ workspace, rate }: TokenCharge): number {
    const burst = rate * BURST_SECONDS;
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined) return burst;
    const elapsedMs = this.#clock() - bucket.updatedAtMs;
    return Math.min(burst, bucket.balance + elapsedMs * rate / MS_PER_SECOND);
  }

  #set(workspace: SettingsPath, balance: number): void {
    this.#buckets.delete(workspace);
    this.#buckets.set(workspace, { balance, updatedAtMs: this.#clock() });
    if (this.#buckets.size <= MAX_WORKSPACES) return;
    const oldest = this.#buckets.keys().next();
    if (oldest.done !== true) this.#buckets.delete(oldest.value);
  }
}
