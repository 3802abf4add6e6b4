/** A rate limit by token bucket, used by the log and the weight store. */
import { performance } from "node:perf_hooks";

/** Allows `ratePerSecond` calls a second with a burst of the same size. */
export class TokenBucket {
  readonly #ratePerSecond: number;
  #tokens: number;
  #lastMs: number;

  constructor(ratePerSecond: number) {
    this.#ratePerSecond = ratePerSecond;
    this.#tokens = ratePerSecond;
    this.#lastMs = performance.now();
  }

  /** Takes one token, or answers false when none is left. */
  take(): boolean {
    const nowMs = performance.now();
    const gained = (nowMs - this.#lastMs) * this.#ratePerSecond / 1000;
    this.#lastMs = nowMs;
    this.#tokens = Math.min(this.#ratePerSecond, this.#tokens + gained);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
