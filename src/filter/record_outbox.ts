/**
 * Records that could not be confirmed in the log and wait to be appended. The
 * outbox is bounded. Work reserves its room before it starts, so that the
 * record of work once accepted always fits. An append repeated is harmless:
 * replay knows a record by its id.
 */
import { type Journal } from "../client/mod.ts";
import { type LogRecord } from "../state/mod.ts";

/** A record and the shard it belongs to. */
export interface OutgoingRecord {
  readonly record: LogRecord;
  readonly shardKey: string;
}

/** Room in an outbox for one record. */
export interface Reservation {
  /** Gives the room back; a second call changes nothing. */
  release(): void;
}

/** The bounds of an outbox. */
export interface RecordOutboxOptions {
  readonly journal: Journal;
  readonly maxRecords: number;
  readonly appendTimeoutMs: number;
}

const PARALLEL_APPENDS = 32;

/** A bounded outbox. */
export class RecordOutbox {
  readonly #options: RecordOutboxOptions;
  readonly #waiting = new Map<string, OutgoingRecord>();
  #reservedCount = 0;

  constructor(options: RecordOutboxOptions) {
    this.#options = options;
  }

  /** Records that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Whether no further record would fit beside the reservations. */
  get isFull(): boolean {
    const usedCount = this.#waiting.size + this.#reservedCount;
    return usedCount >= this.#options.maxRecords;
  }

  /** Reserves room, unless the outbox is full. */
  reserve(): Reservation | undefined {
    if (this.isFull) return undefined;
    this.#reservedCount += 1;
    let isHeld = true;
    return {
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        this.#reservedCount -= 1;
      },
    };
  }

  /** Puts a record whose room is reserved. */
  put(outgoing: OutgoingRecord): void {
    this.#waiting.set(outgoing.record.id, outgoing);
  }

  /** Puts a record if there is room for it. */
  offer(outgoing: OutgoingRecord): boolean {
    if (this.#waiting.has(outgoing.record.id)) return true;
    if (this.isFull) return false;
    this.put(outgoing);
    return true;
  }

  /** Appends what waits; stops at the first batch that the log refuses. */
  async flush(): Promise<void> {
    const all = [...this.#waiting.values()];
    for (let start = 0; start < all.length; start += PARALLEL_APPENDS) {
      const batch = all.slice(start, start + PARALLEL_APPENDS);
      const results = await Promise.all(batch.map((one) => this.#append(one)));
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
