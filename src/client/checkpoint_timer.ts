/** Keeps what the decision to write a checkpoint of one stream follows from. */
import { type Clock, type Random } from "../model/mod.ts";
import {
  initialCheckpointAgeMs,
  isCheckpointDue,
  offsetOf,
  type Position,
} from "../state/mod.ts";

/** What a timer needs. */
export interface CheckpointTimerOptions {
  readonly retentionMs: number;
  readonly clock: Clock;
  readonly random: Random;
}

/** The time of the next checkpoint of one stream. */
export class CheckpointTimer {
  readonly #options: CheckpointTimerOptions;
  #writtenMs: number;
  #coversOffset = -1;
  #jitterShare: number;

  constructor(options: CheckpointTimerOptions) {
    this.#options = options;
    this.#writtenMs = options.clock() -
      initialCheckpointAgeMs(options.retentionMs);
    this.#jitterShare = options.random();
  }

  /** Notes a checkpoint; one read while catching up may be of any age. */
  observe(covers: Position, isNew: boolean): void {
    this.#coversOffset = Math.max(this.#coversOffset, offsetOf(covers));
    if (!isNew) return;
    this.#writtenMs = this.#options.clock();
    this.#jitterShare = this.#options.random();
  }

  /** Waits again after a checkpoint that could not be written. */
  postpone(): void {
    const { clock, random, retentionMs } = this.#options;
    this.#writtenMs = clock() - initialCheckpointAgeMs(retentionMs);
    this.#jitterShare = random();
  }

  /** Whether a checkpoint is due, with the stream read up to `nextOffset`. */
  isDue(nextOffset: number): boolean {
    return isCheckpointDue({
      retentionMs: this.#options.retentionMs,
      ageMs: this.#options.clock() - this.#writtenMs,
      tailEntries: nextOffset - 1 - this.#coversOffset,
      jitterShare: this.#jitterShare,
    });
  }
}
