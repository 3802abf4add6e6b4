/** Token-bucket rate limiter of the log and weight store stand-ins. */
import { performance } from "node:perf_hooks";

/** Allows `ratePerSecond` calls per second, with bursts of that many. */
export class TokenBucket {
  readonly #ratePerSecond: number;
  #tokens: number;
  #refilledAtMs: number;

  constructor(ratePerSecond: number) {
    this.#ratePerSecond = ratePerSecond;
    this.#tokens = ratePerSecond;
    this.#refilledAtMs = performance.now();
  }

  /** Takes one token; returns false when none is available. */
  take(): boolean {
    const nowMs = performance.now();
    const refill = (nowMs - this.#refilledAtMs) * this.#ratePerSecond / 1000;
    this.#refilledAtMs = nowMs;
    this.#tokens = Math.min(this.#ratePerSecond, this.#tokens + refill);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
