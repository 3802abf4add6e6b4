/**
 * Tells whether what is read now may have arrived long ago. While a process is
 * paused or its event loop held up, what others send waits, and is read only then.
 */
import { type Clock } from "../model/mod.ts";

/** A process that has not run for so long was held up. */
const HELD_UP_MS = 500;
/** Within this time what has waited is read. */
const READING_MS = 1000;

/** The turns of this process; at least one is recorded each 0.1 s. */
export class LateReading {
  readonly #clock: Clock;
  #turnAtMs: number;
  #heldUpUntilMs = -Infinity;

  constructor(options: { readonly clock: Clock }) {
    this.#clock = options.clock;
    this.#turnAtMs = options.clock();
  }

  /** Records that the process runs. */
  recordTurn(): void {
    const nowMs = this.#clock();
    if (nowMs - this.#turnAtMs > HELD_UP_MS) this.#heldUpUntilMs = nowMs;
    this.#turnAtMs = nowMs;
  }

  /** Whether what is read now may have waited while the process was held up. */
  get isLate(): boolean {
    this.recordTurn();
    return this.#turnAtMs - this.#heldUpUntilMs < READING_MS;
  }
}
