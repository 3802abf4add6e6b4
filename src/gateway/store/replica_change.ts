/** What changes a replica, and what a VM tells another of its own. */
import { type StoreRecord } from "./store_record.ts";

/** The records of a topic that one VM sends to another. */
export interface TopicUpdate {
  readonly records: readonly StoreRecord[];
  /** Whether the update has all keys; otherwise only the changed ones. */
  readonly isWhole: boolean;
  /** The offset from which on it has the changes, unless it is whole. */
  readonly sinceOffset?: number | undefined;
  readonly nextOffset: number;
  /** Records before this offset may be of an older copy of the store. */
  readonly copiedBefore?: number | undefined;
  /** Time since the sender's replica was up to date, in milliseconds. */
  readonly ageMs: number;
}

/** A change of a replica. */
export interface ReplicaChange {
  readonly records: readonly StoreRecord[];
  /** Whether the replica was older than OUTAGE_MS before this change. */
  readonly isAfterOutage: boolean;
  /** The replica's end before, if this change has brought a newer era. */
  readonly restoredFrom: number | undefined;
  /** Whether nothing of this era was read before; records may be copies. */
  readonly isFirstInEra: boolean;
  /** Whether there may be more, as a list is not complete yet. */
  readonly isPart: boolean;
  readonly source: RecordSource;
  /** The replica's age before this change, in milliseconds. */
  readonly ageBeforeMs: number;
}

/** Where a replica's records came from. */
export type RecordSource = "store" | "vm";
