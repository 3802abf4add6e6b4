/**
 * Positions order the records of a log stream. A log entry holds a batch of
 * records, so a position combines the entry's offset and the record's index in
 * the batch into one number. Positions also serve as revisions of the settings
 * and as fencing numbers of leases.
 */

/** Position of a record in its stream; 0 is before all records. */
export type Position = number;

/** Maximum number of records in a log entry. */
export const MAX_BATCH_RECORDS = 1024;

/** The position before all records. */
export const START_POSITION: Position = 0;

/** Returns the position of the record at `index` of the entry at `offset`. */
export function positionOf(offset: number, index: number): Position {
  return (offset + 1) * MAX_BATCH_RECORDS + index;
}

/** Returns the offset of the log entry with the record at `position`. */
export function offsetOf(position: Position): number {
  return Math.floor(position / MAX_BATCH_RECORDS) - 1;
}
