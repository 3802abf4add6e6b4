/**
 * Positions order the records of one stream of the log. A log entry carries a
 * batch of records, so a position is the entry's offset and the record's index
 * in the batch, folded into one number. Positions are also revisions of the
 * settings and fencing numbers of leases.
 */

/** The place of one record in its stream; 0 stands before every record. */
export type Position = number;

/** The most records that one log entry may carry. */
export const MAX_BATCH_RECORDS = 1024;

/** The position before every record. */
export const START_POSITION: Position = 0;

/** The position of the record at `index` of the entry at `offset`. */
export function positionOf(offset: number, index: number): Position {
  return (offset + 1) * MAX_BATCH_RECORDS + index;
}

/** The offset of the log entry that holds the record at `position`. */
export function offsetOf(position: Position): number {
  return Math.floor(position / MAX_BATCH_RECORDS) - 1;
}
