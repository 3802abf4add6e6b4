/**
 * Decides when a process writes the next checkpoint of a stream. Every process
 * that replays the stream decides for itself. Random jitter makes one of them
 * write first; the others restart their schedule when they read its checkpoint.
 */

/** Inputs of the decision. */
export interface CheckpointStatus {
  /** Time for which the log retains a record. */
  readonly retentionMs: number;
  /**
   * Time since the newest checkpoint was read; starts at
   * {@link initialCheckpointAgeMs} in a new process.
   */
  readonly ageMs: number;
  /** Entries after the newest checkpoint, or all if there is none. */
  readonly tailEntries: number;
  /** Random number in [0, 1), sampled once for each checkpoint. */
  readonly jitterShare: number;
}

/** More than one per retention time, to allow for failed writes. */
const CHECKPOINTS_PER_RETENTION = 4;
/** The jitter spreads writes from this share of the interval to its end. */
const EARLIEST_SHARE = 0.5;
/** Bounds the entries that a starting process replays. */
const MAX_TAIL_ENTRIES = 8000;

/** Returns the longest time between two checkpoints. */
export function checkpointIntervalMs(retentionMs: number): number {
  return retentionMs / CHECKPOINTS_PER_RETENTION;
}

/**
 * Returns the checkpoint age that a process assumes at its start, since records
 * carry no time. Starting at 0 would keep processes that restart often from
 * ever writing a checkpoint.
 */
export function initialCheckpointAgeMs(retentionMs: number): number {
  return EARLIEST_SHARE * checkpointIntervalMs(retentionMs);
}

/** Whether the process should write a checkpoint now. */
export function isCheckpointDue(status: CheckpointStatus): boolean {
  const share = EARLIEST_SHARE + (1 - EARLIEST_SHARE) * status.jitterShare;
  if (status.tailEntries >= MAX_TAIL_ENTRIES * share) return true;
  return status.ageMs >= checkpointIntervalMs(status.retentionMs) * share;
}
