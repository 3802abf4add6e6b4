/** Exponential backoff with full jitter between the attempts at one call. */
import { type Random } from "../model/mod.ts";

/** Bounds of a backoff. */
export interface BackoffOptions {
  readonly baseMs: number;
  readonly capMs: number;
  readonly random: Random;
}

/** Counts failures in a row and gives the delay before the next attempt. */
export class Backoff {
  readonly #options: BackoffOptions;
  #failureCount = 0;

  constructor(options: BackoffOptions) {
    this.#options = options;
  }

  /** The delay after one more failure; never below `atLeastMs`. */
  next(atLeastMs = 0): number {
    const { baseMs, capMs, random } = this.#options;
    const ceilingMs = Math.min(capMs, baseMs * 2 ** this.#failureCount);
    this.#failureCount += 1;
    return atLeastMs + random() * ceilingMs;
  }

  /** Starts again from the shortest delay. */
  reset(): void {
    this.#failureCount = 0;
  }
}
