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

/** A page of the newest records of all keys, in the order of the keys. */
export interface StorePage extends StoreRecords {
  /** The topic's end when the store answered. */
  readonly nextOffset: number;
  /** The key after which the next page begins; absent on the last page. */
  readonly nextAfter?: string | undefined;
  /** Size of the store's answer. */
  readonly bytes?: number | undefined;
}

/** Records that follow an offset. */
export interface StoreRead extends StoreRecords {
  /** The topic's end when the store answered; the next offset if absent. */
  readonly endOffset?: number | undefined;
  /** Size of the store's answer. */
  readonly bytes?: number | undefined;
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

/**
 * Reads a topic of which the store retains each key's newest record. Any program
 * may write there: an answer is bounded, a topic as a whole is not. Records
 * may share the memory of their answer.
 */
export interface TopicSource {
  /**
   * Lists the newest records of the keys behind `after`, or of the first ones.
   * Pages are not a snapshot, and may be of different eras.
   */
  readonly list: (
    answerMs: number,
    after?: string,
  ) => Promise<Result<StorePage, StoreFault>>;
  /**
   * Reads records from an offset on, waiting if there are none. The answer is of
   * the offset's era; a store of another one gives `deleted`.
   */
  readonly readAfter: (
    offset: number,
    limits: ReadLimits,
  ) => Promise<Result<StoreRead, StoreFault>>;
}

/** The longest time that a call of the store may take beyond its wait. */
export const LONGEST_ANSWER_MS = 1200;
