/** Decides when the next checkpoint of one stream is due. */
import { type Clock, type Random } from "../model/mod.ts";
import {
  initialCheckpointAgeMs,
  isCheckpointDue,
  offsetOf,
  type Position,
} from "../state/mod.ts";

export interface CheckpointTimerOptions {
  readonly retentionMs: number;
  readonly clock: Clock;
  readonly random: Random;
}

/** Tracks the checkpoints of one stream and the jitter of the next. */
export class CheckpointTimer {
  readonly #options: CheckpointTimerOptions;
  #writtenAtMs: number;
  #coversOffset = -1;
  #jitterShare: number;

  constructor(options: CheckpointTimerOptions) {
    this.#options = options;
    this.#writtenAtMs = options.clock() -
      initialCheckpointAgeMs(options.retentionMs);
    this.#jitterShare = options.random();
  }

  /**
   * Records a checkpoint. The interval restarts only if `isNew`, since one that
   * is read while catching up may be of any age.
   */
  observe(covers: Position, isNew: boolean): void {
    this.#coversOffset = Math.max(this.#coversOffset, offsetOf(covers));
    if (!isNew) return;
    this.#writtenAtMs = this.#options.clock();
    this.#jitterShare = this.#options.random();
  }

  /** Schedules a new attempt after a checkpoint could not be written. */
  postpone(): void {
    const { clock, random, retentionMs } = this.#options;
    this.#writtenAtMs = clock() - initialCheckpointAgeMs(retentionMs);
    this.#jitterShare = random();
  }

  /** Whether a checkpoint is due after the stream was read to `nextOffset`. */
  isDue(nextOffset: number): boolean {
    return isCheckpointDue({
      retentionMs: this.#options.retentionMs,
      ageMs: this.#options.clock() - this.#writtenAtMs,
      tailEntries: nextOffset - 1 - this.#coversOffset,
      jitterShare: this.#jitterShare,
    });
  }
}
