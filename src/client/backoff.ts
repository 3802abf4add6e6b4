/** Exponential backoff with full jitter. */
import { type Random } from "../model/mod.ts";

export interface BackoffOptions {
  readonly baseMs: number;
  readonly capMs: number;
  readonly random: Random;
}

const LOG_BASE_MS = 50;
const LOG_CAP_MS = 2000;

/** Creates a backoff for calls of the log service. */
export function logBackoff(random: Random): Backoff {
  return new Backoff({ baseMs: LOG_BASE_MS, capMs: LOG_CAP_MS, random });
}

/** Counts consecutive failures and returns the delay before each retry. */
export class Backoff {
  readonly #options: BackoffOptions;
  #failureCount = 0;

  constructor(options: BackoffOptions) {
    this.#options = options;
  }

  /** Returns the delay after one more failure, at least `minDelayMs`. */
  next(minDelayMs = 0): number {
    const { baseMs, capMs, random } = this.#options;
    const ceilingMs = Math.min(capMs, baseMs * 2 ** this.#failureCount);
    this.#failureCount += 1;
    return minDelayMs + random() * ceilingMs;
  }

  /** Resets the failure count, and so the delay, after a success. */
  reset(): void {
    this.#failureCount = 0;
  }
}
