/**
 * When a process writes the next checkpoint of a stream. Every process that
 * replays the stream decides for itself; a jitter drawn anew for each
 * checkpoint makes one of them the first, and the others start over when they
 * read what it wrote.
 */

/** What the decision follows from. */
export interface CheckpointStatus {
  /** How long the log keeps a record. */
  readonly retentionMs: number;
  /** Since the newest checkpoint was read, or {@link initialCheckpointAgeMs}. */
  readonly ageMs: number;
  /** Entries that follow the newest checkpoint, or all when there is none. */
  readonly tailEntries: number;
  /** A number in [0, 1) drawn anew for each checkpoint. */
  readonly jitterShare: number;
}

/** Checkpoints in one retention time, so that several may fail to be written. */
const CHECKPOINTS_PER_RETENTION = 4;
const EARLIEST_SHARE = 0.5;
/** Entries after which a checkpoint is worth its while for who starts. */
const MAX_TAIL_ENTRIES = 8000;

/** The longest time between two checkpoints. */
export function checkpointIntervalMs(retentionMs: number): number {
  return retentionMs / CHECKPOINTS_PER_RETENTION;
}

/**
 * The age that a process assumes at its start, since no record tells its own.
 * It is such that also processes which are replaced often write in their turn.
 */
export function initialCheckpointAgeMs(retentionMs: number): number {
  return EARLIEST_SHARE * checkpointIntervalMs(retentionMs);
}

/** Whether this process is to write a checkpoint now. */
export function isCheckpointDue(view: CheckpointStatus): boolean {
  const share = EARLIEST_SHARE + (1 - EARLIEST_SHARE) * view.jitterShare;
  if (view.tailEntries >= MAX_TAIL_ENTRIES * share) return true;
  return view.ageMs >= checkpointIntervalMs(view.retentionMs) * share;
}
