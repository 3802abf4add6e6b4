/**
 * Which of two records about the evacuation of a data centre holds. A store that
 * is restored from an older copy gives offsets out again, and the first list of
 * its new era does not tell which records are copies. So each record has a lower
 * bound of the era in which it was written, and one that may be a copy from
 * before a known record changes nothing.
 */

/** What one record says of a data centre. */
export interface EvacuationFact {
  /** False for a record that was dropped, which ends the evacuation. */
  readonly isOrdered: boolean;
  /** Position of the record in the store. */
  readonly era: number;
  readonly offset: number;
  /**
   * The record was written in this era or a later one: in its own era if it was
   * read after another read of that era.
   */
  readonly writtenEra: number;
}

/** Returns the later one of two facts about a data centre. */
export type ChooseFact = (
  known: EvacuationFact | undefined,
  next: EvacuationFact,
) => EvacuationFact;

/** Returns the fact that was written later, as far as that can be told. */
export const laterFact: ChooseFact = (known, next) => {
  if (known === undefined) return next;
  const [first, second] = comparePositions(known, next) < 0
    ? [known, next]
    : [next, known];
  const isLater = second.writtenEra > first.era ||
    second.offset >= first.offset;
  // Below the offset of the first, the second may be a copy from before it.
  if (!isLater) return first;
  if (second.writtenEra >= first.writtenEra) return second;
  return { ...second, writtenEra: first.writtenEra };
};

function comparePositions(a: EvacuationFact, b: EvacuationFact): number {
  return a.era - b.era || a.offset - b.offset;
}
