/**
 * Reads one topic of the store into a replica, a call at a time: lists the topic
 * page by page, then reads the records that follow, and lists it again if records
 * were deleted before they were read. A page is applied before the next one is
 * asked for, and nothing of it is kept but what the replica retains, so that the
 * size of a topic costs time and no memory. A failed call is made again where the
 * list stands.
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock } from "../../model/mod.ts";
import { type RetainedRecords } from "./retained_records.ts";
import { eraOf } from "./store_position.ts";
import {
  type ReadLimits,
  type StoreFault,
  type StorePage,
  type StoreRecord,
  type TopicSource,
} from "./store_record.ts";
import { type TopicReplica } from "./topic_replica.ts";

export interface TopicReaderOptions {
  readonly source: TopicSource;
  readonly replica: TopicReplica;
  readonly clock: Clock;
}

/** Whether the replica has what the store had, or more is to be read at once. */
export type ReadProgress = "current" | "behind";

/** A list of which pages are still to be read. */
interface OpenList {
  readonly records: RetainedRecords;
  readonly startedAtMs: number;
  /** The topic's end at the first page. */
  readonly end: number;
  readonly nextAfter: string;
}

/** Reads one topic. */
export class TopicReader {
  readonly #options: TopicReaderOptions;
  #isListDue = false;
  #list: OpenList | undefined;

  constructor(options: TopicReaderOptions) {
    this.#options = options;
  }

  /** Makes the next call. */
  async read(limits: ReadLimits): Promise<Result<ReadProgress, StoreFault>> {
    const { nextOffset } = this.#options.replica;
    // Another VM may have told what the list would bring.
    if (
      nextOffset !== undefined && nextOffset >= (this.#list?.end ?? Infinity)
    ) {
      this.#endList();
    }
    return nextOffset === undefined || this.#isListDue
      ? await this.#readPage(limits.answerMs)
      : await this.#readAfter(nextOffset, limits);
  }

  async #readPage(
    answerMs: number,
  ): Promise<Result<ReadProgress, StoreFault>> {
    const { source, replica, clock } = this.#options;
    const requestedAtMs = clock();
    const read = await source.list(answerMs, this.#list?.nextAfter);
    if (read.isErr()) return err(read.error);
    const page = read.value;
    const {
      records = replica.createList(),
      startedAtMs = requestedAtMs,
      end = page.nextOffset,
      nextAfter,
    } = this.#list ?? {};
    if (eraOf(page.nextOffset) !== eraOf(end)) {
      this.#list = undefined;
      return err(restored());
    }
    const retained = retainedOf(page, records);
    if (page.nextAfter === undefined) {
      this.#endList();
      // Records appended during paging are read from the first page's end.
      replica.applyList(
        { records: [...records], nextOffset: end },
        startedAtMs,
      );
      return ok(nextAfter === undefined ? "current" : "behind");
    }
    if (page.nextAfter === nextAfter) return err(stuck());
    replica.applyPart(retained);
    this.#list = { records, startedAtMs, end, nextAfter: page.nextAfter };
    return ok("behind");
  }

  async #readAfter(
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
    const currentAtMs = limits.waitMs > 0 ? clock() : requestedAtMs;
    replica.applyRecords(read.value, currentAtMs);
    return ok("current");
  }

  #endList(): void {
    this.#list = undefined;
    this.#isListDue = false;
  }
}

/** Adds a page's records to a list; returns those that it has retained. */
function retainedOf(page: StorePage, list: RetainedRecords): StoreRecord[] {
  return page.records.map((record) => list.readable(record))
    .filter((record) => record.value !== undefined && list.put(record));
}

function restored(): StoreFault {
  return { kind: "deleted", message: "the store was restored" };
}

function stuck(): StoreFault {
  return { kind: "unknown", message: "a page ends where it begins" };
}
