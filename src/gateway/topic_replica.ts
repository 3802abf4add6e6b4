/**
 * A replica of one topic: the newest record of each key, read from the store or
 * received from another VM, and the time at which it was up to date. A record
 * that decodes to the same value as its predecessor keeps the old offset, so
 * that VMs send each other changes and not heartbeats.
 */
import { type Clock } from "../model/mod.ts";
import { type StoreRecord, type StoreRecords } from "./store_record.ts";

/** Number of dropped keys retained, so that updates can contain the drops. */
const MAX_DROPPED_KEYS = 500;
/** After this long without an update, entries may have expired unnoticed. */
export const OUTAGE_MS = 2500;

/** The records of a topic that one VM sends to another. */
export interface TopicUpdate {
  readonly records: readonly StoreRecord[];
  /** Whether the update has all keys; otherwise only the changed ones. */
  readonly isWhole: boolean;
  readonly nextOffset: number;
  /** Time since the sender's replica was up to date, in milliseconds. */
  readonly ageMs: number;
}

/** A change of a replica. */
export interface ReplicaChange {
  readonly records: readonly StoreRecord[];
  /** Whether the replica was older than OUTAGE_MS before this change. */
  readonly isAfterOutage: boolean;
}

/** The replica of one topic. */
export class TopicReplica {
  readonly #clock: Clock;
  readonly #isSame: (a: Buffer, b: Buffer) => boolean;
  readonly #onChange: (change: ReplicaChange) => void;
  readonly #newest = new Map<string, StoreRecord>();
  #nextOffset: number | undefined;
  #currentAtMs = -Infinity;
  /** Drops before this offset may have been discarded. */
  #firstCompleteOffset = 0;

  constructor(options: {
    readonly clock: Clock;
    /** Whether two values of a key decode to the same. */
    readonly isSame: (a: Buffer, b: Buffer) => boolean;
    readonly onChange: (change: ReplicaChange) => void;
  }) {
    this.#clock = options.clock;
    this.#isSame = options.isSame;
    this.#onChange = options.onChange;
  }

  /** The offset after the newest record; undefined before the first list. */
  get nextOffset(): number | undefined {
    return this.#nextOffset;
  }

  /** Time since the replica was up to date; Infinity before the first list. */
  get ageMs(): number {
    return this.#clock() - this.#currentAtMs;
  }

  /** Applies a complete list; keys that it lacks have been dropped. */
  applyList({ records, nextOffset }: StoreRecords, currentAtMs: number): void {
    const listed = new Set(records.map(({ key }) => key));
    const changed = [...records];
    if (nextOffset >= (this.#nextOffset ?? 0)) {
      for (const [key, { value, offset }] of this.#newest) {
        const isDropped = value !== undefined && !listed.has(key) &&
          offset < nextOffset;
        if (!isDropped) continue;
        changed.push({ key, value: undefined, offset: nextOffset - 1 });
      }
    }
    this.#apply(changed, { nextOffset, currentAtMs });
  }

  /** Applies records that follow the replica's offset. */
  applyRecords(
    { records, nextOffset }: StoreRecords,
    currentAtMs: number,
  ): void {
    this.#apply(records, { nextOffset, currentAtMs });
  }

  /**
   * Returns the records from an offset on, or all of them if the offset is
   * undefined or older than the retained drops.
   */
  updateSince(offset: number | undefined): TopicUpdate | undefined {
    if (this.#nextOffset === undefined) return undefined;
    const isWhole = offset === undefined || offset < this.#firstCompleteOffset;
    const records: StoreRecord[] = [];
    for (const record of this.#newest.values()) {
      if (isWhole ? record.value !== undefined : record.offset >= offset) {
        records.push(record);
      }
    }
    const { ageMs } = this;
    return { records, isWhole, nextOffset: this.#nextOffset, ageMs };
  }

  /** Applies another VM's update, unless this replica is further ahead. */
  applyUpdate(update: TopicUpdate): void {
    const currentAtMs = this.#clock() - update.ageMs;
    const ownOffset = this.#nextOffset;
    if (ownOffset !== undefined && update.nextOffset < ownOffset) return;
    if (update.isWhole) this.applyList(update, currentAtMs);
    else if (ownOffset !== undefined) this.applyRecords(update, currentAtMs);
  }

  #apply(
    records: readonly StoreRecord[],
    position: { readonly nextOffset: number; readonly currentAtMs: number },
  ): void {
    const isAfterOutage = this.#nextOffset !== undefined &&
      this.ageMs > OUTAGE_MS;
    const wasEmpty = this.#nextOffset === undefined;
    const changes: StoreRecord[] = [];
    for (const record of records) if (this.#put(record)) changes.push(record);
    this.#nextOffset = Math.max(this.#nextOffset ?? 0, position.nextOffset);
    this.#currentAtMs = Math.max(this.#currentAtMs, position.currentAtMs);
    this.#evictDropped();
    if (changes.length === 0 && !wasEmpty && !isAfterOutage) return;
    this.#onChange({ records: changes, isAfterOutage });
  }

  #put(record: StoreRecord): boolean {
    const current = this.#newest.get(record.key);
    if (current !== undefined && current.offset >= record.offset) return false;
    const { value } = record;
    if (value === undefined && current?.value === undefined) return false;
    if (
      value !== undefined && current?.value !== undefined &&
      this.#isSame(current.value, value)
    ) return false;
    // Deleted first, so that the map stays in the order of changes.
    this.#newest.delete(record.key);
    this.#newest.set(record.key, record);
    return true;
  }

  #evictDropped(): void {
    let droppedCount = 0;
    for (const { value } of this.#newest.values()) {
      if (value === undefined) droppedCount += 1;
    }
    for (const [key, { value, offset }] of this.#newest) {
      if (droppedCount <= MAX_DROPPED_KEYS) return;
      if (value !== undefined) continue;
      this.#newest.delete(key);
      this.#firstCompleteOffset = Math.max(
        this.#firstCompleteOffset,
        offset + 1,
      );
      droppedCount -= 1;
    }
  }
}
