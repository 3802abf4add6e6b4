/**
 * The newest record of each key that a replica or a list retains. Any program may
 * write to the store, so the records are bounded: one that can't be read is not
 * retained at all, one that nothing refers to only within a bound of its own,
 * which leaves the others their room. Dropped keys are retained too, so that other
 * VMs can be told of them; the oldest of them are evicted.
 */
import { type StoreRecord } from "./store_record.ts";

/** Why a record with a value is not retained. */
export type IgnoredReason = "unreadable" | "no room";

/** What is retained of a topic's records. */
export interface RecordPolicy {
  /**
   * Returns the value to retain, in memory of its own; undefined if it can't be
   * read.
   */
  readonly valueOf: (record: StoreRecord) => Buffer | undefined;
  /** Whether this VM refers to what the record names. */
  readonly isNeeded: (record: StoreRecord) => boolean;
  /** Called with each record with a value that is not retained. */
  readonly onIgnored: (record: StoreRecord, reason: IgnoredReason) => void;
}

interface Bound {
  readonly count: number;
  readonly bytes: number;
}

interface Retained {
  readonly record: StoreRecord;
  readonly bytes: number;
  readonly isNeeded: boolean;
}

/**
 * Bounds of the records with values. Together they fit into one frame of a peer,
 * and the needed ones are those of more than the largest deployment.
 */
const BOUNDS: Readonly<Record<"needed" | "others", Bound>> = {
  needed: { count: 8000, bytes: 2816 * 1024 },
  others: { count: 1000, bytes: 256 * 1024 },
};
/** Number of dropped keys retained. */
const MAX_DROPPED_KEYS = 500;

/** Retains all records as they are, within the bounds. */
export const RETAIN_ALL: RecordPolicy = {
  valueOf: ({ value }) => value,
  isNeeded: () => true,
  onIgnored: () => {},
};

/** Bounded records, in the order in which they were put. */
export class RetainedRecords {
  readonly #policy: RecordPolicy;
  readonly #retained = new Map<string, Retained>();
  readonly #used = {
    needed: { count: 0, bytes: 0 },
    others: { count: 0, bytes: 0 },
  };
  #droppedCount = 0;

  constructor(policy: RecordPolicy) {
    this.#policy = policy;
  }

  get(key: string): StoreRecord | undefined {
    return this.#retained.get(key)?.record;
  }

  *[Symbol.iterator](): Iterator<StoreRecord> {
    for (const { record } of this.#retained.values()) yield record;
  }

  /** Returns a record with the value to retain: without one if unreadable. */
  readable(record: StoreRecord): StoreRecord {
    if (record.value === undefined) return record;
    const value = this.#policy.valueOf(record);
    if (value === undefined) this.#policy.onIgnored(record, "unreadable");
    return { ...record, value };
  }

  /**
   * Replaces the record of a key by a readable one, or by the key's drop, which
   * there is always room for. Returns false, and changes nothing, if there is no
   * room.
   */
  put(record: StoreRecord): boolean {
    const { key, value } = record;
    const isNeeded = value !== undefined && this.#policy.isNeeded(record);
    const bytes = key.length + (value?.length ?? 0);
    const retained = { record, bytes, isNeeded };
    if (value !== undefined && !this.#hasRoomFor(retained)) {
      this.#policy.onIgnored(record, "no room");
      return false;
    }
    // Deleted first, so that the map stays in the order of changes.
    this.delete(key);
    this.#retained.set(key, retained);
    this.#account(retained, 1);
    return true;
  }

  delete(key: string): void {
    const retained = this.#retained.get(key);
    if (retained === undefined) return;
    this.#retained.delete(key);
    this.#account(retained, -1);
  }

  /** Evicts the oldest drops beyond the bound; returns the last one's offset. */
  evictDropped(): number | undefined {
    let lastOffset: number | undefined;
    if (this.#droppedCount <= MAX_DROPPED_KEYS) return undefined;
    for (const { record } of this.#retained.values()) {
      if (this.#droppedCount <= MAX_DROPPED_KEYS) break;
      if (record.value !== undefined) continue;
      this.delete(record.key);
      lastOffset = Math.max(lastOffset ?? 0, record.offset);
    }
    return lastOffset;
  }

  /**
   * Applies the bounds anew after what the VM refers to has changed; returns the
   * records that are no longer retained.
   */
  evictUnneeded(): StoreRecord[] {
    const records = [...this];
    for (const { key } of records) this.delete(key);
    return records.filter((record) => !this.put(record));
  }

  #hasRoomFor({ record, bytes, isNeeded }: Retained): boolean {
    const kind = isNeeded ? "needed" : "others";
    const [used, bound] = [this.#used[kind], BOUNDS[kind]];
    const replaced = this.#retained.get(record.key);
    const isReplacing = replaced?.record.value !== undefined &&
      replaced.isNeeded === isNeeded;
    const count = used.count + (isReplacing ? 0 : 1);
    const total = used.bytes + bytes - (isReplacing ? replaced.bytes : 0);
    return count <= bound.count && total <= bound.bytes;
  }

  #account({ record, bytes, isNeeded }: Retained, sign: 1 | -1): void {
    if (record.value === undefined) {
      this.#droppedCount += sign;
      return;
    }
    const used = this.#used[isNeeded ? "needed" : "others"];
    used.count += sign;
    used.bytes += sign * bytes;
  }
}
