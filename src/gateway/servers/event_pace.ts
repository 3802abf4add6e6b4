/**
 * How fast a server makes the parts of one answer: the median of the pauses
 * between them. Other requests at the server cause single long pauses, which
 * hardly move the median, so answers of servers under different load compare.
 */

/** The first pauses tell the pace; an answer may go on for long. */
const MAX_PAUSES = 7;
/** Parts of one packet arrive together and tell nothing. */
const MIN_PAUSE_MS = 1;
/** Fewer pauses say little. */
const MIN_PAUSES = 2;

/** The pace of one answer. */
export class EventPace {
  readonly #pausesMs: number[] = [];
  #lastAtMs: number | undefined;

  /** Records that a part has arrived. */
  recordPart(nowMs: number): void {
    const pauseMs = nowMs - (this.#lastAtMs ?? nowMs);
    this.#lastAtMs = nowMs;
    if (pauseMs < MIN_PAUSE_MS || this.isComplete) return;
    this.#pausesMs.push(pauseMs);
  }

  /** Whether no further part changes the median. */
  get isComplete(): boolean {
    return this.#pausesMs.length >= MAX_PAUSES;
  }

  /** The median pause; undefined after too few parts. */
  get medianMs(): number | undefined {
    if (this.#pausesMs.length < MIN_PAUSES) return undefined;
    const sorted = this.#pausesMs.toSorted((a, b) => a - b);
    return sorted[Math.floor((sorted.length - 1) / 2)];
  }
}
