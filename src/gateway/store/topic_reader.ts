/**
 * Reads one topic of the store into a replica, a call at a time: lists the topic
 * page by page, then reads the records that follow, and lists it again if records
 * were deleted before they were read. A page is applied before the next one is
 * asked for, and nothing of it is kept but what the replica retains, so that the
 * size of a topic costs time and no memory. A failed call is made again where the
 * list stands.
 *
 * An answer has a bounded part of what is to be read. As long as it is not all,
 * the next call follows at once, so that the replica keeps up with any pace of
 * writing that the store serves; and where the topic's list is shorter than the
 * records that were missed, it is listed. While a long list is read, so are the
 * records that follow its start.
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, type Sleep } from "../../model/mod.ts";
import { type RetainedRecords } from "./retained_records.ts";
import { eraOf } from "./store_position.ts";
import {
  type ReadLimits,
  type StoreFault,
  type StorePage,
  type StoreRead,
  type StoreRecord,
  type TopicSource,
} from "./store_record.ts";
import { type TopicReplica } from "./topic_replica.ts";

export interface TopicReaderOptions {
  readonly source: TopicSource;
  readonly replica: TopicReplica;
  /** Pause between two reads of what follows a list, while it is listed. */
  readonly pauseMs: number;
  readonly clock: Clock;
  /** Gives other work its turn while many records are decoded. */
  readonly sleep?: Sleep;
}

/**
 * `current`: the replica has what the store had when it was asked, or at the end
 * of the wait. `changed`: it has all up to a record that ended the wait. `behind`:
 * there is more to be read at once.
 */
export type ReadProgress = "current" | "changed" | "behind";

/** Records that follow a list's start. */
interface Tail {
  readonly nextOffset: number;
  readonly endOffset: number;
  readonly requestedAtMs: number;
}

/** A list of which pages are still to be read. */
interface OpenList {
  readonly records: RetainedRecords;
  readonly bytes: number;
  readonly nextAfter: string;
  readonly startedAtMs: number;
  /** The topic's end at the first page. */
  readonly end: number;
  readonly tail: Tail;
  readonly isTailNext: boolean;
}

/** The length of a list before the first one has been read. */
const ASSUMED_LIST_BYTES = 4 * 1024 * 1024;
/** A list in place of records that are so much longer. */
const LIST_GAIN = 2;
/** Records that are decoded before other work has its turn. */
const SLICE_COUNT = 1000;

/** Reads one topic. */
export class TopicReader {
  readonly #options: TopicReaderOptions;
  #isListDue = false;
  #list: OpenList | undefined;
  #listBytes = ASSUMED_LIST_BYTES;

  constructor(options: TopicReaderOptions) {
    this.#options = options;
  }

  /** Makes the next call. */
  async read(limits: ReadLimits): Promise<Result<ReadProgress, StoreFault>> {
    const { nextOffset } = this.#options.replica;
    // Another VM may have told what the list would bring.
    if (
      nextOffset !== undefined && nextOffset >= (this.#list?.end ?? Infinity)
    ) this.#endList();
    if (this.#list !== undefined && this.#isTailDue(this.#list)) {
      return await this.#readTail(this.#list, limits);
    }
    return nextOffset === undefined || this.#isListDue
      ? await this.#readPage(limits)
      : await this.#readOn(nextOffset, limits);
  }

  /** Makes calls until the replica has what the store had meanwhile. */
  async readToEnd(answerMs: number): Promise<Result<void, StoreFault>> {
    let wasDeleted = false;
    for (;;) {
      const read = await this.read({ waitMs: 0, answerMs });
      if (read.isOk()) {
        if (read.value === "current") return ok();
        continue;
      }
      // What was deleted is listed by the next call.
      if (read.error.kind !== "deleted" || wasDeleted) return err(read.error);
      wasDeleted = true;
    }
  }

  #isTailDue({ end, tail, isTailNext }: OpenList): boolean {
    const { replica: { nextOffset = end }, clock, pauseMs } = this.#options;
    // A newer era begins with its complete list.
    if (!isTailNext || eraOf(nextOffset) !== eraOf(end)) return false;
    return tail.nextOffset < tail.endOffset ||
      clock() - tail.requestedAtMs >= pauseMs;
  }

  async #readPage(
    { answerMs }: ReadLimits,
  ): Promise<Result<ReadProgress, StoreFault>> {
    const { source, replica, clock } = this.#options;
    const requestedAtMs = clock();
    const read = await source.list(answerMs, this.#list?.nextAfter);
    if (read.isErr()) return err(read.error);
    const page = read.value;
    const list = this.#list ?? openList(page, {
      records: replica.createList(),
      requestedAtMs,
    });
    if (eraOf(page.nextOffset) !== eraOf(list.end)) {
      this.#list = undefined;
      return err({ kind: "deleted", message: "the store was restored" });
    }
    const retained = retainedOf(page, list.records);
    const bytes = list.bytes + (page.bytes ?? 0);
    const { nextAfter } = page;
    if (nextAfter === undefined) {
      this.#listBytes = bytes;
      return ok(this.#complete(list));
    }
    if (nextAfter === this.#list?.nextAfter) {
      return err({ kind: "unknown", message: "a page ends where it begins" });
    }
    replica.applyPart(retained);
    this.#list = { ...list, bytes, nextAfter, isTailNext: true };
    return ok("behind");
  }

  #complete({ records, end, startedAtMs, tail }: OpenList): ReadProgress {
    const { replica } = this.#options;
    const isOnePage = this.#list === undefined;
    this.#endList();
    // Records appended during paging are read from the first page's end.
    replica.applyList({ records: [...records], nextOffset: end }, startedAtMs);
    replica.applyRecords({ ...tail, records: [] }, tail.requestedAtMs);
    return isOnePage ? "current" : "behind";
  }

  async #readTail(
    list: OpenList,
    { answerMs }: ReadLimits,
  ): Promise<Result<ReadProgress, StoreFault>> {
    const { source, replica, clock } = this.#options;
    const requestedAtMs = clock();
    const limits = { waitMs: 0, answerMs };
    const read = await source.readAfter(list.tail.nextOffset, limits);
    if (read.isErr()) {
      if (read.error.kind === "deleted") this.#list = undefined;
      return err(read.error);
    }
    const { records, nextOffset } = read.value;
    replica.applyPart(await this.#applyPart(records));
    const tail = { nextOffset, endOffset: endOf(read.value), requestedAtMs };
    this.#list = { ...list, tail, isTailNext: false };
    return ok("behind");
  }

  async #readOn(
    offset: number,
    limits: ReadLimits,
  ): Promise<Result<ReadProgress, StoreFault>> {
    const { source, replica, clock } = this.#options;
    const requestedAtMs = clock();
    const read = await source.readAfter(offset, limits);
    if (read.isErr()) {
      if (read.error.kind === "deleted") this.#isListDue = true;
      return err(read.error);
    }
    const { records, nextOffset } = read.value;
    const hasRecords = nextOffset > offset;
    // The store answers as soon as there is a record, or when the wait is over.
    const waitedMs = hasRecords ? 0 : limits.waitMs;
    const currentAtMs = Math.min(clock(), requestedAtMs + waitedMs);
    const lastSlice = await this.#applyPart(records);
    replica.applyRecords({ ...read.value, records: lastSlice }, currentAtMs);
    if (hasRecords && nextOffset < endOf(read.value)) {
      this.#isListDue = this.#isListShorter(offset, read.value);
      return ok("behind");
    }
    return ok(hasRecords && limits.waitMs > 0 ? "changed" : "current");
  }

  /** Whether listing the topic brings less than reading what is left. */
  #isListShorter(offset: number, read: StoreRead): boolean {
    const { nextOffset, bytes = 0 } = read;
    const recordBytes = bytes / (nextOffset - offset);
    const leftBytes = (endOf(read) - nextOffset) * recordBytes;
    return leftBytes > LIST_GAIN * this.#listBytes;
  }

  /** Applies all but the last records, with pauses; returns the last ones. */
  async #applyPart(
    records: readonly StoreRecord[],
  ): Promise<readonly StoreRecord[]> {
    let start = 0;
    while (records.length - start > SLICE_COUNT) {
      this.#options.replica.applyPart(
        records.slice(start, start + SLICE_COUNT),
      );
      start += SLICE_COUNT;
      await this.#options.sleep?.(0);
    }
    return records.slice(start);
  }

  #endList(): void {
    this.#list = undefined;
    this.#isListDue = false;
  }
}

function openList(
  { nextOffset: end }: StorePage,
  { records, requestedAtMs }: {
    readonly records: RetainedRecords;
    readonly requestedAtMs: number;
  },
): OpenList {
  return {
    records,
    bytes: 0,
    nextAfter: "",
    startedAtMs: requestedAtMs,
    end,
    tail: { nextOffset: end, endOffset: end, requestedAtMs },
    isTailNext: false,
  };
}

/** Adds a page's records to a list; returns those that it has retained. */
function retainedOf(page: StorePage, list: RetainedRecords): StoreRecord[] {
  return page.records.map((record) => list.readable(record))
    .filter((record) => record.value !== undefined && list.put(record));
}

function endOf({ nextOffset, endOffset = nextOffset }: StoreRead): number {
  return Math.max(nextOffset, endOffset);
}
