/** An in-memory topic of the platform's store for tests. */
import { setTimeout as delay } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import { eraOf, offsetOf, positionOf } from "./store_position.ts";
import {
  type ReadLimits,
  type StoreFault,
  type StorePage,
  type StoreRead,
  type StoreRecord,
  type StoreRecords,
  type TopicSource,
} from "./store_record.ts";

/**
 * A topic that retains all records, but for those that it loses when it is
 * restored from an older copy; fails every call while `isDown`.
 */
export class MemoryTopic implements TopicSource {
  records: StoreRecord[] = [];
  isDown = false;
  /** The most records of one answer. */
  maxRecordCount = Infinity;
  #era = 0;

  /** Appends a record with a JSON value, as an operator or server does. */
  put(key: string, value: unknown): void {
    const bytes = Buffer.from(JSON.stringify(value));
    this.records.push({ key, value: bytes, offset: this.records.length });
  }

  /** Appends a record if the topic ends at the position. */
  append(
    { key, value }: { readonly key: string; readonly value: unknown },
    position: number,
  ): Result<number, StoreFault> {
    if (this.isDown) return err({ kind: "refused", message: "down" });
    const end = (): number =>
      positionOf({ era: this.#era, offset: this.records.length });
    if (end() !== position) return err({ kind: "conflict", message: "grown" });
    this.put(key, value);
    return ok(end());
  }

  /** Drops a key, as the platform does when a server's entry expires. */
  drop(key: string): void {
    this.records.push({ key, value: undefined, offset: this.records.length });
  }

  /** Loses all but the first records; their offsets are given out again. */
  restore(recordCount: number): void {
    this.records = this.records.slice(0, recordCount);
    this.#era += 1;
  }

  async list(
    _answerMs?: number,
    after = "",
  ): Promise<Result<StorePage, StoreFault>> {
    await delay(1);
    if (this.isDown) return down();
    const newest = new Map<string, StoreRecord>();
    for (const record of this.records) newest.set(record.key, record);
    const left = [...newest.values()]
      .filter(({ key, value }) => value !== undefined && key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    const page = left.slice(0, this.maxRecordCount);
    const nextAfter = page.length < left.length ? page.at(-1)?.key : undefined;
    return ok({ ...this.#placed(page), nextAfter, bytes: bytesOf(page) });
  }

  async readAfter(
    position: number,
    { waitMs }: ReadLimits,
  ): Promise<Result<StoreRead, StoreFault>> {
    const offset = offsetOf(position);
    const endMs = performance.now() + waitMs;
    while (this.records.length <= offset && performance.now() < endMs) {
      await delay(10);
    }
    await delay(1);
    if (this.isDown) return down();
    const isRestored = eraOf(position) !== this.#era;
    if (isRestored || offset > this.records.length) return deleted();
    const end = Math.min(this.records.length, offset + this.maxRecordCount);
    const { records, nextOffset: endOffset } = this.#placed(
      this.records.slice(offset, end),
    );
    const nextOffset = positionOf({ era: this.#era, offset: end });
    return ok({ records, nextOffset, endOffset, bytes: bytesOf(records) });
  }

  #placed(records: readonly StoreRecord[]): StoreRecords {
    const era = this.#era;
    return {
      records: records.map((record) => ({
        ...record,
        offset: positionOf({ era, offset: record.offset }),
      })),
      nextOffset: positionOf({ era, offset: this.records.length }),
    };
  }
}

function bytesOf(records: readonly StoreRecord[]): number {
  let bytes = 0;
  for (const { value } of records) bytes += value?.length ?? 0;
  return bytes;
}

function down(): Result<never, StoreFault> {
  return err({ kind: "refused", message: "down" });
}

function deleted(): Result<never, StoreFault> {
  return err({ kind: "deleted", message: "no such records" });
}
