/**
 * Group commit of one stream. Records wait in a bounded queue and are appended
 * in batches, one batch in flight at a time. In a replayed stream a record is
 * confirmed when its id is replayed, never by the service's response alone.
 * After a lost response the stream is read to its end before the missing
 * records are sent again, so a duplicate arises only if the lost append takes
 * effect after that read.
 */
import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  type Logger,
  type Metrics,
  type Random,
  type Sleep,
} from "../model/mod.ts";
import {
  encodeBatch,
  type LogEntry,
  type LogRecord,
  MAX_BATCH_RECORDS,
  type Position,
  positionOf,
  type RawEntry,
} from "../state/mod.ts";
import { type Backoff, logBackoff } from "./backoff.ts";
import { JournalError } from "./journal.ts";
import { type LogClient, type LogFailure } from "./log_client.ts";
import { type AppendPacer } from "./append_pacer.ts";

export interface WriterOptions {
  readonly stream: string;
  readonly client: LogClient;
  readonly pacer: AppendPacer;
  /** Maximum number of unconfirmed records. */
  readonly queueLimit: number;
  /** Reads the stream to its end; false if the read fails. */
  readonly readBack: () => Promise<boolean>;
  /** Called with each entry that the log service has acknowledged. */
  readonly onAppended: (entry: RawEntry) => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly sleep: Sleep;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type Outcome = Result<Position, JournalError>;

interface PendingRecord {
  readonly record: LogRecord;
  /** `unsent` unless an append succeeded or may have had an effect. */
  sendState: "unsent" | "uncertain" | "appended";
  readonly waiters: Set<(outcome: Outcome) => void>;
}

const MAX_BATCH_CHARS = 256 * 1024;

/** Appends records to one stream and confirms them by replay. */
export class LogWriter {
  readonly #options: WriterOptions;
  readonly #pending = new Map<string, PendingRecord>();
  readonly #backoff: Backoff;
  #inFlight: readonly PendingRecord[] = [];
  #isRunning = false;
  #isClosed = false;

  constructor(options: WriterOptions) {
    this.#options = options;
    this.#backoff = logBackoff(options.random);
  }

  /** Number of unconfirmed records. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  /** Appends a record; resolves once it is confirmed or the timeout expires. */
  append(record: LogRecord, timeoutMs: number): Promise<Outcome> {
    if (this.#isClosed) return Promise.resolve(unavailable("writer closed"));
    const waiting = this.#pending.get(record.id);
    if (waiting === undefined && this.#isFull()) {
      return Promise.resolve(
        err(
          new JournalError(
            "full",
            `the queue of ${this.#options.stream} is full`,
          ),
        ),
      );
    }
    const pending = waiting ?? create(record);
    this.#pending.set(record.id, pending);
    const outcome = this.#outcomeOf(pending, timeoutMs);
    void this.#run();
    return outcome;
  }

  /** Confirms the pending records that a replayed entry contains. */
  confirm(entry: LogEntry): void {
    if (this.#pending.size === 0) return;
    for (const [index, record] of entry.records.entries()) {
      if (record.kind === "skipped") continue;
      const pending = this.#pending.get(record.id);
      if (pending === undefined) continue;
      this.#settle(pending, ok(positionOf(entry.offset, index)));
    }
  }

  /** Stops; records never sent fail as `unavailable`, others as `unknown`. */
  close(): void {
    this.#isClosed = true;
    for (const pending of this.#pending.values()) {
      this.#settle(
        pending,
        this.#unconfirmedOutcome(pending, "the process stopped"),
      );
    }
  }

  #isFull(): boolean {
    return this.#pending.size >= this.#options.queueLimit;
  }

  #outcomeOf(pending: PendingRecord, timeoutMs: number): Promise<Outcome> {
    const timer = new AbortController();
    return new Promise((resolve) => {
      const settle = (outcome: Outcome): void => {
        timer.abort();
        resolve(outcome);
      };
      pending.waiters.add(settle);
      this.#options.sleep(timeoutMs, timer.signal).then(() => {
        if (!pending.waiters.delete(settle)) return;
        if (pending.waiters.size === 0) this.#remove(pending);
        resolve(
          this.#unconfirmedOutcome(
            pending,
            `no confirmation within ${timeoutMs} ms`,
          ),
        );
      });
    });
  }

  #settle(pending: PendingRecord, outcome: Outcome): void {
    this.#remove(pending);
    const waiters = [...pending.waiters];
    pending.waiters.clear();
    for (const settle of waiters) settle(outcome);
  }

  #remove(pending: PendingRecord): void {
    if (this.#pending.get(pending.record.id) !== pending) return;
    this.#pending.delete(pending.record.id);
  }

  #unconfirmedOutcome(pending: PendingRecord, cause: string): Outcome {
    const isSent = pending.sendState !== "unsent" ||
      this.#inFlight.includes(pending);
    this.#options.metrics.count("log.append_expired", 1, {
      fault: isSent ? "unknown" : "unavailable",
    });
    if (!isSent) return unavailable(cause);
    return err(
      new JournalError("unknown", `the record may be in the log: ${cause}`),
    );
  }

  async #run(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    while (!this.#isClosed && this.#hasQueued()) await this.#step();
    this.#isRunning = false;
  }

  #hasQueued(): boolean {
    for (const pending of this.#pending.values()) {
      if (pending.sendState !== "appended") return true;
    }
    return false;
  }

  async #step(): Promise<void> {
    await this.#options.pacer.waitForTurn();
    const batch = this.#nextBatch();
    if (batch.length === 0 || this.#isClosed) return;
    const payload = encodeBatch(batch.map((pending) => pending.record));
    this.#inFlight = batch;
    const reply = await this.#options.client.append(
      this.#options.stream,
      payload,
    );
    this.#inFlight = [];
    this.#options.metrics.count("log.append_batch");
    if (reply.isErr()) return await this.#retryLater(batch, reply.error);
    this.#backoff.reset();
    for (const pending of batch) pending.sendState = "appended";
    this.#options.onAppended({ offset: reply.value, payload });
  }

  #nextBatch(): PendingRecord[] {
    const batch: PendingRecord[] = [];
    let sizeChars = 0;
    for (const pending of this.#pending.values()) {
      if (pending.sendState === "appended") continue;
      sizeChars += sizeCharsOf(pending.record);
      if (batch.length > 0 && sizeChars > MAX_BATCH_CHARS) break;
      batch.push(pending);
      if (batch.length === MAX_BATCH_RECORDS) break;
    }
    return batch;
  }

  async #retryLater(
    batch: readonly PendingRecord[],
    failure: LogFailure,
  ): Promise<void> {
    const { stream, logger, metrics, sleep, readBack } = this.#options;
    metrics.count("log.append_failed", 1, { kind: failure.kind });
    logger.warn("append failed", { stream, reason: failure.message });
    await sleep(this.#backoff.next(failure.retryAfterMs));
    if (failure.kind === "refused") return;
    for (const pending of batch) pending.sendState = "uncertain";
    while (!this.#isClosed && this.#hasQueued()) {
      if (await readBack()) return;
      await sleep(this.#backoff.next());
    }
  }
}

function create(record: LogRecord): PendingRecord {
  return { record, sendState: "unsent", waiters: new Set() };
}

function unavailable(cause: string): Outcome {
  return err(
    new JournalError("unavailable", `the record is not in the log: ${cause}`),
  );
}

/** Approximate length of the encoded record. */
function sizeCharsOf(record: LogRecord): number {
  const overheadChars = 512;
  if (record.kind === "checkpoint") return overheadChars + record.data.length;
  if (record.kind === "outcome") {
    return overheadChars + record.bodyBase64.length;
  }
  return overheadChars;
}
