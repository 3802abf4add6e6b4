/**
 * Positions in a topic of the store. The platform's store may be restored from
 * an older copy; it then gives offsets out again and counts one era more. A
 * position is era and offset as one number, so that it orders records by era,
 * then offset, wherever an offset did. In the era 0 it is the offset itself.
 */
const OFFSETS_PER_ERA = 2 ** 40;
/** Largest offset within an era. */
export const MAX_OFFSET = OFFSETS_PER_ERA - 1;
/** Largest era; above it positions would no longer be exact. */
export const MAX_ERA = 2 ** 12 - 1;

/** Returns the position of an offset in an era. */
export function positionOf(
  { era, offset }: { readonly era: number; readonly offset: number },
): number {
  return era * OFFSETS_PER_ERA + offset;
}

/** The era of a position. */
export function eraOf(position: number): number {
  return Math.floor(position / OFFSETS_PER_ERA);
}

/** The offset of a position within its era. */
export function offsetOf(position: number): number {
  return position % OFFSETS_PER_ERA;
}
