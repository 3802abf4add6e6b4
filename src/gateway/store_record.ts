/** Records of the platform's store, and how a topic of newest records is read. */
import { type Result } from "neverthrow";

/** One record: a key's newest value, or that the key was dropped. */
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

/** Why a call to the store gave nothing. */
export interface StoreFault {
  /**
   * `deleted`: the records asked for are no longer there. `refused`: nothing
   * was done. `conflict`: the topic has grown. `unknown`: it may have been done.
   */
  readonly kind: "deleted" | "refused" | "conflict" | "unknown";
  readonly message: string;
}

/** How a topic is read. */
export interface TopicSource {
  readonly list: () => Promise<Result<StoreRecords, StoreFault>>;
  readonly readAfter: (
    offset: number,
    waitMs: number,
  ) => Promise<Result<StoreRecords, StoreFault>>;
}
