/**
 * Limits one process to its share of the log's append budget. The interval
 * between two batches is the number of writers divided by the budget. It is
 * also the group commit delay: records that arrive in between share a batch.
 */
import { type Clock, type Sleep } from "../model/mod.ts";

/** The append budget and the number of its users. */
export interface PacerOptions {
  /** Appends per second of all writers together. */
  readonly appendBudgetPerSecond: number;
  /** Current number of processes that append. */
  readonly writerCount: () => number;
  readonly clock: Clock;
  readonly sleep: Sleep;
}

/** Batches that a process may append in a burst after an idle time. */
const BURST_BATCHES = 4;
const MS_PER_S = 1000;

/** Interval between two batches of one process, in milliseconds. */
export function batchIntervalMs(
  writerCount: number,
  appendBudgetPerSecond: number,
): number {
  return MS_PER_S * Math.max(1, writerCount) / appendBudgetPerSecond;
}

/** Assigns the times at which batches may be appended, in FIFO order. */
export class AppendPacer {
  readonly #options: PacerOptions;
  #nextTurnAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: PacerOptions) {
    this.#options = options;
  }

  /** Resolves at the time at which the caller may append one batch. */
  async waitForTurn(): Promise<void> {
    const { clock, sleep, writerCount, appendBudgetPerSecond } = this.#options;
    const intervalMs = batchIntervalMs(writerCount(), appendBudgetPerSecond);
    const nowMs = clock();
    const turnAtMs = Math.max(
      this.#nextTurnAtMs,
      nowMs - BURST_BATCHES * intervalMs,
    );
    this.#nextTurnAtMs = turnAtMs + intervalMs;
    if (turnAtMs > nowMs) await sleep(turnAtMs - nowMs);
  }
}
