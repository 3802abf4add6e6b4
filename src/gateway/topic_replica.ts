/**
 * The newest record of each key of one topic, as read from the store or passed
 * on by another VM, with the time at which the topic's end was known. A record
 * whose meaning has not changed keeps its old offset, so that what is passed on
 * between VMs is changes and not heartbeats.
 */
import { type Clock } from "../model/mod.ts";
import { type StoreRecord, type StoreRecords } from "./store_record.ts";

/** Dropped keys that are remembered, so that other VMs can be told. */
const MAX_DROPPED = 500;
/** Without news for so long, entries may have lapsed in the meantime. */
export const OUTAGE_MS = 2500;

/** What one VM tells another of a topic. */
export interface TopicUpdate {
  readonly records: readonly StoreRecord[];
  /** Whether these are all keys; otherwise those that changed. */
  readonly isWhole: boolean;
  readonly nextOffset: number;
  /** Since the topic's end was known, in milliseconds. */
  readonly ageMs: number;
}

/** What a change of the mirror means to its user. */
export interface ReplicaChange {
  readonly records: readonly StoreRecord[];
  /** The store was not heard of for a while before this. */
  readonly isAfterOutage: boolean;
}

/** The mirror of one topic. */
export class TopicReplica {
  readonly #clock: Clock;
  readonly #isSame: (a: Buffer, b: Buffer) => boolean;
  readonly #onChange: (change: ReplicaChange) => void;
  readonly #newest = new Map<string, StoreRecord>();
  #nextOffset: number | undefined;
  #knownAtMs = -Infinity;
  /** Changes before this offset may no longer be complete. */
  #completeFrom = 0;

  constructor(options: {
    readonly clock: Clock;
    /** Whether two values of a key mean the same. */
    readonly isSame: (a: Buffer, b: Buffer) => boolean;
    readonly onChange: (change: ReplicaChange) => void;
  }) {
    this.#clock = options.clock;
    this.#isSame = options.isSame;
    this.#onChange = options.onChange;
  }

  /** The offset after the newest record; absent before the first list. */
  get nextOffset(): number | undefined {
    return this.#nextOffset;
  }

  /** Since the topic's end was known; Infinity before the first list. */
  get ageMs(): number {
    return this.#clock() - this.#knownAtMs;
  }

  /** Takes all keys as they were listed at a moment. */
  applyList({ records, nextOffset }: StoreRecords, knownAtMs: number): void {
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
    this.#take(changed, { nextOffset, knownAtMs });
  }

  /** Takes records that follow on those known. */
  applyRecords({ records, nextOffset }: StoreRecords, knownAtMs: number): void {
    this.#take(records, { nextOffset, knownAtMs });
  }

  /** What a VM that has read up to an offset lacks. */
  updateSince(offset: number | undefined): TopicUpdate | undefined {
    if (this.#nextOffset === undefined) return undefined;
    const isWhole = offset === undefined || offset < this.#completeFrom;
    const records: StoreRecord[] = [];
    for (const record of this.#newest.values()) {
      if (isWhole ? record.value !== undefined : record.offset >= offset) {
        records.push(record);
      }
    }
    const { ageMs } = this;
    return { records, isWhole, nextOffset: this.#nextOffset, ageMs };
  }

  /** Takes what another VM told. */
  applyUpdate(news: TopicUpdate): void {
    const knownAtMs = this.#clock() - news.ageMs;
    const own = this.#nextOffset;
    if (own !== undefined && news.nextOffset < own) return;
    if (news.isWhole) this.applyList(news, knownAtMs);
    else if (own !== undefined) this.applyRecords(news, knownAtMs);
  }

  #take(
    records: readonly StoreRecord[],
    given: { readonly nextOffset: number; readonly knownAtMs: number },
  ): void {
    const isAfterOutage = this.#nextOffset !== undefined &&
      this.ageMs > OUTAGE_MS;
    const wasEmpty = this.#nextOffset === undefined;
    const changes: StoreRecord[] = [];
    for (const record of records) if (this.#put(record)) changes.push(record);
    this.#nextOffset = Math.max(this.#nextOffset ?? 0, given.nextOffset);
    this.#knownAtMs = Math.max(this.#knownAtMs, given.knownAtMs);
    this.#forget();
    if (changes.length === 0 && !wasEmpty && !isAfterOutage) return;
    this.#onChange({ records: changes, isAfterOutage });
  }

  #put(record: StoreRecord): boolean {
    const known = this.#newest.get(record.key);
    if (known !== undefined && known.offset >= record.offset) return false;
    const { value } = record;
    if (value === undefined && known?.value === undefined) return false;
    if (
      value !== undefined && known?.value !== undefined &&
      this.#isSame(known.value, value)
    ) return false;
    // Set anew, so that the map's order is that of the changes.
    this.#newest.delete(record.key);
    this.#newest.set(record.key, record);
    return true;
  }

  #forget(): void {
    let droppedCount = 0;
    for (const { value } of this.#newest.values()) {
      if (value === undefined) droppedCount += 1;
    }
    for (const [key, { value, offset }] of this.#newest) {
      if (droppedCount <= MAX_DROPPED) return;
      if (value !== undefined) continue;
      this.#newest.delete(key);
      this.#completeFrom = Math.max(this.#completeFrom, offset + 1);
      droppedCount -= 1;
    }
  }
}
