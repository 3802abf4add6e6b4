/**
 * A replica of one topic: the newest record of each key, read from the store or
 * received from another VM, and the time at which it was up to date. A record
 * that decodes to the same value as its predecessor keeps the old offset, so
 * that VMs send each other changes and not heartbeats. One that can't be read
 * counts as the drop of its key, as any program may write to the store.
 *
 * A replica is up to date as of the moment at which the store's end was one that
 * it has reached since. A read that leaves records behind proves nothing yet.
 *
 * A list says nothing of what was dropped, or changed and changed back, since
 * the offset before it. So an update holds all keys unless its sender has seen
 * every record from the receiver's offset on, and an update of changes applies
 * only to a replica that has what came before them.
 *
 * Offsets are positions, which order records by the store's era first. The first
 * complete list of a newer era restores the replica: it holds what the list has,
 * all at positions of that era, and forgets the rest. What comes of an older era
 * after it, from the store or from another VM, changes nothing. Where it is told
 * which of two values was written first, an older copy of the store undoes
 * nothing: newer values stay, and dropped keys stay dropped until they are
 * written again. The first list of an era may be such a copy, also where another
 * VM passes it on, so updates tell up to which offset it is. Keys that it is told
 * to keep stay where a list lacks them.
 */
import { type Clock } from "../../model/mod.ts";
import {
  type RecordPolicy,
  RETAIN_ALL,
  RetainedRecords,
} from "./retained_records.ts";
import { eraOf, positionOf } from "./store_position.ts";
import {
  type StoreRead,
  type StoreRecord,
  type StoreRecords,
} from "./store_record.ts";
import {
  type RecordSource,
  type ReplicaChange,
  type TopicUpdate,
} from "./replica_change.ts";

export { type ReplicaChange, type TopicUpdate } from "./replica_change.ts";

/** After this long without an update, entries may have expired unnoticed. */
export const OUTAGE_MS = 2500;

/** Whether a value was written before another one of the same key. */
export type IsOlder = (value: Buffer, known: Buffer) => boolean;

/** Where records came from, and when their source was up to date. */
interface Provenance {
  /** When the topic's end was `endOffset`. */
  readonly currentAtMs: number;
  /** The next offset if absent. */
  readonly endOffset?: number | undefined;
  readonly source: RecordSource;
  /** Of a complete list: records before this offset may be copies. */
  readonly copiedBefore?: number | undefined;
}

/** The replica of one topic. */
export class TopicReplica {
  readonly #clock: Clock;
  readonly #isSame: (a: Buffer, b: Buffer) => boolean;
  readonly #isOlder: IsOlder | undefined;
  readonly #keepsMissing: (key: string) => boolean;
  readonly #policy: RecordPolicy;
  readonly #onChange: (change: ReplicaChange) => void;
  readonly #newest: RetainedRecords;
  #nextOffset: number | undefined;
  #currentAtMs = -Infinity;
  /** The topic's end at a moment, while it is not reached. */
  #aim: { readonly endOffset: number; readonly atMs: number } | undefined;
  /** From this offset on, all changes are known; drops before may be missing. */
  #firstCompleteOffset = 0;
  /** Records of this era before this offset may be of an older copy. */
  #copiedBefore = 0;

  constructor(options: {
    readonly clock: Clock;
    /** Whether two values of a key decode to the same. */
    readonly isSame: (a: Buffer, b: Buffer) => boolean;
    /** Only for keys that are written again and again. */
    readonly isOlder?: IsOlder;
    /** Whether a key that a complete list lacks stays until it is dropped. */
    readonly keepsMissing?: (key: string) => boolean;
    /** What is retained; by default all that there is room for. */
    readonly policy?: RecordPolicy;
    readonly onChange: (change: ReplicaChange) => void;
  }) {
    this.#clock = options.clock;
    this.#isSame = options.isSame;
    this.#isOlder = options.isOlder;
    this.#keepsMissing = options.keepsMissing ?? ((): boolean => false);
    this.#policy = options.policy ?? RETAIN_ALL;
    this.#onChange = options.onChange;
    this.#newest = new RetainedRecords(this.#policy);
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
  applyList(list: StoreRecords, currentAtMs: number): void {
    const copiedBefore = eraOf(list.nextOffset) > 0 ? list.nextOffset : 0;
    this.#applyWhole(list, { currentAtMs, source: "store", copiedBefore });
  }

  #applyWhole(
    { records, nextOffset }: StoreRecords,
    { currentAtMs, source, copiedBefore = 0 }: Provenance,
  ): void {
    if (this.#isOutdated(nextOffset)) return;
    const listed = new Set(records.map(({ key }) => key));
    const isRestoring = this.#nextOffset !== undefined &&
      eraOf(nextOffset) > eraOf(this.#nextOffset);
    const changed = isRestoring
      ? records.map((record) => this.#notUndone(record, copiedBefore))
      : [...records];
    if (nextOffset > (this.#nextOffset ?? 0)) {
      for (const { key, value, offset } of this.#newest) {
        const isDropped = value !== undefined && !listed.has(key) &&
          offset < nextOffset;
        if (!isDropped || this.#keepsMissing(key)) continue;
        changed.push({ key, value: undefined, offset: nextOffset - 1 });
      }
    }
    const endBefore = this.#nextOffset ?? -1;
    if (eraOf(nextOffset) > eraOf(endBefore)) this.#copiedBefore = copiedBefore;
    this.#apply(changed, { nextOffset, currentAtMs, source }, true);
    if (nextOffset > endBefore) this.#firstCompleteOffset = nextOffset;
  }

  /**
   * Applies records of a list that is not complete yet: what is known of a long
   * one is used at once. They are newer than what the replica has of their keys,
   * or change nothing; those of another era wait for the complete list.
   */
  applyPart(records: readonly StoreRecord[]): void {
    const end = this.#nextOffset;
    const changes = this.#putAll(
      end === undefined
        ? records
        : records.filter(({ offset }) => eraOf(offset) === eraOf(end)),
      false,
    );
    if (changes.length === 0) return;
    this.#onChange({
      records: changes,
      isAfterOutage: false,
      restoredFrom: undefined,
      isFirstInEra: end === undefined,
      isPart: true,
      source: "store",
      ageBeforeMs: this.ageMs,
    });
  }

  /** Returns a list to be completed, with what this replica retains. */
  createList(): RetainedRecords {
    return new RetainedRecords(this.#policy);
  }

  /**
   * Applies records that follow the replica's offset, of a time at which the topic
   * had the end that the read names. Those of another era are ignored: a newer era
   * begins with a complete list.
   */
  applyRecords(read: StoreRead, currentAtMs: number): void {
    const { endOffset } = read;
    this.#applyFollowing(read, { currentAtMs, endOffset, source: "store" });
  }

  #applyFollowing(
    { records, nextOffset }: StoreRecords,
    provenance: Provenance,
  ): void {
    if (eraOf(nextOffset) !== eraOf(this.#nextOffset ?? 0)) return;
    this.#apply(records, { nextOffset, ...provenance });
  }

  /**
   * Returns the records from an offset on, or all of them if the offset is
   * undefined or older than what is known completely.
   */
  updateSince(offset: number | undefined): TopicUpdate | undefined {
    if (this.#nextOffset === undefined) return undefined;
    const isWhole = offset === undefined || offset < this.#firstCompleteOffset;
    const records: StoreRecord[] = [];
    for (const record of this.#newest) {
      if (isWhole ? record.value !== undefined : record.offset >= offset) {
        records.push(record);
      }
    }
    const { ageMs } = this;
    return {
      records,
      isWhole,
      sinceOffset: isWhole ? undefined : offset,
      nextOffset: this.#nextOffset,
      copiedBefore: this.#copiedBefore,
      ageMs,
    };
  }

  /**
   * Applies the bounds anew after what this VM refers to has changed; returns the
   * records that are no longer retained.
   */
  evictUnneeded(): StoreRecord[] {
    return this.#newest.evictUnneeded();
  }

  /**
   * Applies another VM's update, unless this replica is further ahead. It was sent
   * at `sentAtMs` or later; one that may have been on its way for any time proves
   * nothing of the replica's age.
   */
  applyUpdate(update: TopicUpdate, sentAtMs = this.#clock()): void {
    const currentAtMs = sentAtMs - update.ageMs;
    const { copiedBefore } = update;
    const provenance = { currentAtMs, source: "vm", copiedBefore } as const;
    const ownOffset = this.#nextOffset;
    if (ownOffset !== undefined && update.nextOffset < ownOffset) return;
    if (update.isWhole) return this.#applyWhole(update, provenance);
    if (ownOffset === undefined) return;
    // It may have been meant for the process before this one.
    if ((update.sinceOffset ?? ownOffset) > ownOffset) return;
    this.#applyFollowing(update, provenance);
  }

  /**
   * Returns what is known of a key, at the listed position, if the record is
   * an older one. Whether a dropped key was written again can't be told of a
   * record that may be of a copy.
   */
  #notUndone(listed: StoreRecord, copiedBefore: number): StoreRecord {
    const known = this.#newest.get(listed.key);
    if (this.#isOlder === undefined || known === undefined) return listed;
    if (listed.value === undefined) return listed;
    const isKept = known.value === undefined
      ? listed.offset < copiedBefore
      : this.#isOlder(listed.value, known.value);
    return isKept ? { ...listed, value: known.value } : listed;
  }

  /** Whether an answer of an older era has been on its way until now. */
  #isOutdated(nextOffset: number): boolean {
    return eraOf(nextOffset) < eraOf(this.#nextOffset ?? 0);
  }

  #apply(
    records: readonly StoreRecord[],
    position: Provenance & { readonly nextOffset: number },
    isWhole = false,
  ): void {
    const ageBeforeMs = this.ageMs;
    const isAfterOutage = this.#nextOffset !== undefined &&
      Number.isFinite(ageBeforeMs) && ageBeforeMs > OUTAGE_MS;
    const wasEmpty = this.#nextOffset === undefined;
    const restoredFrom = this.#beginEra(eraOf(position.nextOffset));
    const changes = this.#putAll(records, isWhole);
    this.#nextOffset = Math.max(this.#nextOffset ?? 0, position.nextOffset);
    this.#noteEnd(position.endOffset ?? position.nextOffset, position);
    const isNews = wasEmpty || isAfterOutage || restoredFrom !== undefined;
    if (changes.length === 0 && !isNews) return;
    const isFirstInEra = wasEmpty || restoredFrom !== undefined;
    this.#onChange({
      records: changes,
      isAfterOutage,
      restoredFrom,
      isFirstInEra,
      isPart: false,
      source: position.source,
      ageBeforeMs,
    });
  }

  #noteEnd(endOffset: number, { currentAtMs: atMs }: Provenance): void {
    const aims = [this.#aim, { endOffset, atMs }];
    this.#aim = undefined;
    for (const aim of aims) {
      if (aim === undefined) continue;
      if (aim.endOffset > (this.#nextOffset ?? 0)) this.#aim ??= aim;
      else this.#currentAtMs = Math.max(this.#currentAtMs, aim.atMs);
    }
  }

  #putAll(records: readonly StoreRecord[], isOfWhole: boolean): StoreRecord[] {
    const changes: StoreRecord[] = [];
    for (const record of records) {
      const change = this.#put(record, isOfWhole);
      if (change !== undefined) changes.push(change);
    }
    this.#evictDropped();
    return changes;
  }

  /** Returns the end before, if the era is newer than the replica's. */
  #beginEra(era: number): number | undefined {
    const endBefore = this.#nextOffset;
    if (endBefore === undefined || era <= eraOf(endBefore)) return undefined;
    // A VM of an older era may have records that this one has never seen.
    this.#firstCompleteOffset = positionOf({ era, offset: 0 });
    return endBefore;
  }

  /** Returns the record as it is retained, if its value has changed. */
  #put(record: StoreRecord, isOfWhole: boolean): StoreRecord | undefined {
    const current = this.#newest.get(record.key);
    // All before the replica's end is known, also what was dropped since.
    const knownEnd = Math.max(
      this.#nextOffset ?? 0,
      current === undefined ? 0 : current.offset + 1,
    );
    if (record.offset < knownEnd) return undefined;
    const next = this.#newest.readable(record);
    // The first drop of a kept key is news: it ends what other VMs may have.
    const isFirstOfKept = current === undefined &&
      this.#keepsMissing(record.key);
    const isSame = !isFirstOfKept &&
      this.#isSameValue(current?.value, next.value);
    // Of a newer era, after one that may be of a copy, or after another value
    // that a list doesn't tell of, even the same value takes the new position.
    const isKept = current === undefined ||
      !isOfWhole && eraOf(current.offset) === eraOf(record.offset) &&
        current.offset >= this.#copiedBefore;
    if (isSame && isKept) return undefined;
    if (this.#newest.put(next)) return isSame ? undefined : next;
    if (current?.value === undefined || this.#keepsMissing(record.key)) {
      return undefined;
    }
    // There is no room: an outdated value is worse than none.
    const drop = { ...next, value: undefined };
    this.#newest.put(drop);
    return drop;
  }

  #isSameValue(a: Buffer | undefined, b: Buffer | undefined): boolean {
    if (a === undefined || b === undefined) return a === b;
    return this.#isSame(a, b);
  }

  #evictDropped(): void {
    const lastOffset = this.#newest.evictDropped();
    if (lastOffset === undefined) return;
    this.#firstCompleteOffset = Math.max(
      this.#firstCompleteOffset,
      lastOffset + 1,
    );
  }
}
