/**
 * Records that could not be confirmed in the log and wait to be appended. The
 * outbox is bounded. A request reserves capacity before it starts, so that the
 * record of an accepted request always fits. A duplicate append is harmless:
 * replay identifies a record by its id.
 */
import { type Journal } from "../client/mod.ts";
import { type LogRecord } from "../state/mod.ts";

/** A record and its shard. */
export interface OutgoingRecord {
  readonly record: LogRecord;
  readonly shardKey: string;
}

/** Reserved capacity in an outbox for one record. */
export interface Reservation {
  /** Frees the reserved capacity; later calls have no effect. */
  release(): void;
}

export interface RecordOutboxOptions {
  readonly journal: Journal;
  readonly maxRecords: number;
  readonly appendTimeoutMs: number;
}

const PARALLEL_APPENDS = 32;

/** A bounded outbox of log records. */
export class RecordOutbox {
  readonly #options: RecordOutboxOptions;
  readonly #waiting = new Map<string, OutgoingRecord>();
  #reservedCount = 0;

  constructor(options: RecordOutboxOptions) {
    this.#options = options;
  }

  /** Number of records in the outbox. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Whether records and reservations use the whole capacity. */
  get isFull(): boolean {
    const usedCount = this.#waiting.size + this.#reservedCount;
    return usedCount >= this.#options.maxRecords;
  }

  /** Reserves capacity for one record; `undefined` if the outbox is full. */
  reserve(): Reservation | undefined {
    if (this.isFull) return undefined;
    this.#reservedCount += 1;
    let isReserved = true;
    return {
      release: () => {
        if (!isReserved) return;
        isReserved = false;
        this.#reservedCount -= 1;
      },
    };
  }

  /** Adds a record with a reservation; doesn't check the capacity. */
  put(outgoing: OutgoingRecord): void {
    this.#waiting.set(outgoing.record.id, outgoing);
  }

  /** Adds a record without a reservation; false if the outbox is full. */
  offer(outgoing: OutgoingRecord): boolean {
    if (this.#waiting.has(outgoing.record.id)) return true;
    if (this.isFull) return false;
    this.put(outgoing);
    return true;
  }

  /** Appends all records in batches; stops after a batch with a failure. */
  async flush(): Promise<void> {
    const all = [...this.#waiting.values()];
    for (let start = 0; start < all.length; start += PARALLEL_APPENDS) {
      const batch = all.slice(start, start + PARALLEL_APPENDS);
      const results = await Promise.all(
        batch.map((item) => this.#append(item)),
      );
      if (results.includes(false)) return;
    }
  }

  async #append({ record, shardKey }: OutgoingRecord): Promise<boolean> {
    const { journal, appendTimeoutMs } = this.#options;
    const appended = await journal.append(record, shardKey, {
      timeoutMs: appendTimeoutMs,
    });
    if (appended.isErr()) return false;
    this.#waiting.delete(record.id);
    return true;
  }
}
