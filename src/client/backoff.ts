/** Exponential backoff with full jitter between the attempts at one call. */
import { type Random } from "../model/mod.ts";

/** Bounds of a backoff. */
export interface BackoffOptions {
  readonly baseMs: number;
  readonly capMs: number;
  readonly random: Random;
}

const LOG_BASE_MS = 50;
const LOG_CAP_MS = 2000;

/** The backoff of calls to the log, reads and appends alike. */
export function logBackoff(random: Random): Backoff {
  return new Backoff({ baseMs: LOG_BASE_MS, capMs: LOG_CAP_MS, random });
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
