/**
 * The time during which a process ran. While it was paused or its event loop
 * was blocked, it read nothing of what reached it, so a phase that waits for
 * what others send must not count this time.
 */
import { type Clock, type Sleep } from "../model/mod.ts";

export interface RunningTimeOptions {
  readonly clock: Clock;
  readonly sleep: Sleep;
}

/** A clock that stands still while the process is paused in its `sleep`. */
export class RunningTime {
  readonly #options: RunningTimeOptions;
  #pausedMs = 0;

  constructor(options: RunningTimeOptions) {
    this.#options = options;
  }

  /** The clock without the pauses. */
  nowMs(): number {
    return this.#options.clock() - this.#pausedMs;
  }

  /**
   * Sleeps, and once more after a pause longer than `durationMs`: a timer that
   * is overdue fires before the sockets are read.
   */
  async sleep(durationMs: number): Promise<void> {
    const lateMs = await this.#sleepOnce(durationMs);
    if (lateMs > durationMs) await this.#sleepOnce(durationMs);
  }

  async #sleepOnce(durationMs: number): Promise<number> {
    const { clock, sleep } = this.#options;
    const dueMs = clock() + durationMs;
    await sleep(durationMs);
    const lateMs = Math.max(0, clock() - dueMs);
    this.#pausedMs += lateMs;
    return lateMs;
  }
}
