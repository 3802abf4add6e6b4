/**
 * Keeps one process within its share of the log's append budget. A process
 * writes one batch a turn; the time between turns follows from the number of
 * writers and the budget, and is the linger of group commit: all records that
 * arrive before the turn go into one batch.
 */
import { type Clock, type Sleep } from "../model/mod.ts";

/** What the time between turns follows from. */
export interface PacerOptions {
  /** Appends a second that all writers together may make. */
  readonly appendBudgetPerSecond: number;
  /** Processes that append at present. */
  readonly writerCount: () => number;
  readonly clock: Clock;
  readonly sleep: Sleep;
}

/** Turns that a process which was idle may take at once. */
const BURST_TURNS = 4;
const MS_PER_S = 1000;

/** Time between two batches of one process, in milliseconds. */
export function batchIntervalMs(
  writerCount: number,
  appendBudgetPerSecond: number,
): number {
  return MS_PER_S * Math.max(1, writerCount) / appendBudgetPerSecond;
}

/** Hands out turns to append, first come first served. */
export class AppendPacer {
  readonly #options: PacerOptions;
  #nextTurnMs = Number.NEGATIVE_INFINITY;

  constructor(options: PacerOptions) {
    this.#options = options;
  }

  /** Resolves when the caller may append one batch. */
  async waitForTurn(): Promise<void> {
    const { clock, sleep, writerCount, appendBudgetPerSecond } = this.#options;
    const lingerMs = batchIntervalMs(writerCount(), appendBudgetPerSecond);
    const nowMs = clock();
    const turnMs = Math.max(this.#nextTurnMs, nowMs - BURST_TURNS * lingerMs);
    this.#nextTurnMs = turnMs + lingerMs;
    if (turnMs > nowMs) await sleep(turnMs - nowMs);
  }
}
