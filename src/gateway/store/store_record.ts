/**
 * Records of the platform's store, and the interface to read a topic. Every
 * offset here is a position: the store's offset with its era (`store_position`).
 */
import { type Result } from "neverthrow";

/** A key's newest value; undefined when the key was dropped. */
export interface StoreRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
  readonly offset: number;
}

/** Records and the offset after the last one. */
export interface StoreRecords {
  readonly records: readonly StoreRecord[];
  readonly nextOffset: number;
}

/** Why a call to the store failed. */
export interface StoreFault {
  /**
   * `deleted`: the requested records no longer exist, or the store has been
   * restored since their position was given out. `refused`: nothing was
   * done. `conflict`: the topic has grown since it was read. `unknown`: the
   * call may have taken effect.
   */
  readonly kind: "deleted" | "refused" | "conflict" | "unknown";
  readonly message: string;
}

/** Time limits of a read, in milliseconds. */
export interface ReadLimits {
  /** How long the store waits for a record if there is none. */
  readonly waitMs: number;
  /** How long the answer may take beyond that. */
  readonly answerMs: number;
}

/** Reads a topic of which the store retains each key's newest record. */
export interface TopicSource {
  /** Lists the newest record of each key; each page may take `answerMs`. */
  readonly list: (
    answerMs: number,
  ) => Promise<Result<StoreRecords, StoreFault>>;
  /**
   * Reads the records from an offset on, waiting if there are none. The answer
   * is of the offset's era; a store of another one gives `deleted`.
   */
  readonly readAfter: (
    offset: number,
    limits: ReadLimits,
  ) => Promise<Result<StoreRecords, StoreFault>>;
}

/** The longest time that a call of the store may take beyond its wait. */
export const LONGEST_ANSWER_MS = 1200;
