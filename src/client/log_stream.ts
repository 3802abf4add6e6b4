/**
 * One stream of the log: the replayed state, the tail that reads entries and
 * the writer that appends them. An entry is applied only if it directly follows
 * the last one, and a checkpoint only if it covers more than the state. The
 * state therefore never has a gap and never moves back.
 */
import { type Result } from "neverthrow";
import {
  CheckpointCollector,
  type CheckpointText,
  decodeEntry,
  type LogEntry,
  type LogRecord,
  offsetOf,
  type Position,
  type RawEntry,
  type StateCodec,
} from "../state/mod.ts";
import { CheckpointTimer } from "./checkpoint_timer.ts";
import { type JournalError } from "./journal.ts";
import { type LogClient, type LogPage } from "./log_client.ts";
import { findCheckpoints } from "./checkpoint_search.ts";
import { LogTail, type TailOptions } from "./log_tail.ts";
import { LogWriter, type WriterOptions } from "./log_writer.ts";

/** A state that is derived by applying log entries in order. */
export interface Replayable<State> {
  readonly position: Position;
  apply(entry: LogEntry): State;
}

/** Options that differ between the families of streams. */
export interface StreamFamilyOptions<State> {
  readonly empty: State;
  readonly codec: StateCodec<State>;
  /** Whether entries are replayed; if not, an append's response confirms it. */
  readonly isReplayed: boolean;
}

type InternalTailOption = "nextOffset" | "deliver";
type InternalWriterOption = "readBack" | "onAppended";

export interface StreamOptions<State>
  extends
    StreamFamilyOptions<State>,
    Omit<TailOptions, InternalTailOption>,
    Omit<WriterOptions, InternalWriterOption> {
  readonly client: LogClient;
  readonly retentionMs: number;
  /** Called after each applied entry. */
  readonly onApplied: (entry: RawEntry) => void;
  /** Called after the state has changed. */
  readonly onChange: () => void;
}

/** Entries behind the end from which a checkpoint search pays off. */
const SEARCH_THRESHOLD_ENTRIES = 1000;

/** A stream's replayed state, with its tail and its writer. */
export class LogStream<State extends Replayable<State>> {
  readonly #options: StreamOptions<State>;
  readonly #tail: LogTail;
  readonly #writer: LogWriter;
  readonly #collector = new CheckpointCollector();
  readonly #checkpointTimer: CheckpointTimer;
  #state: State;
  #nextOffset = 0;
  #currentAtMs = Number.NEGATIVE_INFINITY;
  #hasSearched = false;

  constructor(options: StreamOptions<State>) {
    this.#options = options;
    this.#state = options.empty;
    this.#checkpointTimer = new CheckpointTimer(options);
    this.#tail = new LogTail({
      ...options,
      nextOffset: () => this.#nextOffset,
      deliver: (page, startedAtMs) => this.#deliver(page, startedAtMs),
    });
    this.#writer = new LogWriter({
      ...options,
      readBack: () =>
        options.isReplayed ? this.#tail.readToEnd() : Promise.resolve(true),
      onAppended: (entry) => this.#onAppended(entry),
    });
  }

  get isReplayed(): boolean {
    return this.#options.isReplayed;
  }

  /** The state after all entries applied so far. */
  get state(): State {
    return this.#state;
  }

  /** The offset of the next entry to apply. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Time since the stream was last read to its end. */
  get ageMs(): number {
    return this.#options.clock() - this.#currentAtMs;
  }

  /** Whether the stream has been read to its end at least once. */
  get hasCaughtUp(): boolean {
    return this.#currentAtMs !== Number.NEGATIVE_INFINITY;
  }

  /** Whether the last read of the log succeeded. */
  get isReachable(): boolean {
    return this.#tail.isReachable;
  }

  /** Number of unconfirmed records. */
  get pendingCount(): number {
    return this.#writer.pendingCount;
  }

  /** Starts the tail if the stream is replayed. */
  start(): void {
    if (this.isReplayed) this.#tail.start();
  }

  /** Stops reading and appending. */
  async close(): Promise<void> {
    this.#writer.close();
    await this.#tail.close();
  }

  /** Appends a record; resolves once it is replayed or the timeout expires. */
  append(
    record: LogRecord,
    timeoutMs: number,
  ): Promise<Result<Position, JournalError>> {
    return this.#writer.append(record, timeoutMs);
  }

  /** Applies entries that directly follow the state and skips all others. */
  applyEntries(entries: readonly RawEntry[]): void {
    const before = this.#nextOffset;
    for (const raw of entries) {
      if (raw.offset !== this.#nextOffset) continue;
      this.#apply(raw);
    }
    if (this.#nextOffset !== before) this.#options.onChange();
  }

  /** Records that the state was complete `ageMs` ago. */
  markCurrent(ageMs: number): void {
    const currentAtMs = this.#options.clock() - ageMs;
    this.#currentAtMs = Math.max(this.#currentAtMs, currentAtMs);
  }

  /** Replaces the state by a checkpoint that covers more; false if unusable. */
  restore(checkpoint: CheckpointText): boolean {
    if (checkpoint.covers <= this.#state.position) return false;
    const decoded = this.#options.codec.decode(checkpoint.text);
    if (decoded.isErr() || decoded.value.position !== checkpoint.covers) {
      this.#options.logger.error("checkpoint is faulty", {
        stream: this.#options.stream,
        reason: decoded.isErr()
          ? decoded.error
          : "the decoded position differs from the one it covers",
      });
      return false;
    }
    this.#state = decoded.value;
    this.#nextOffset = offsetOf(checkpoint.covers) + 1;
    this.#options.onChange();
    return true;
  }

  /** Whether this process should write a checkpoint of the stream now. */
  isCheckpointDue(): boolean {
    if (!this.isReplayed || this.#state.position === 0) return false;
    return this.hasCaughtUp && this.#checkpointTimer.isDue(this.#nextOffset);
  }

  /** Postpones the next attempt if a checkpoint was not written completely. */
  onCheckpointWritten(isComplete: boolean): void {
    if (!isComplete) this.#checkpointTimer.postpone();
  }

  #onAppended(raw: RawEntry): void {
    if (this.isReplayed) this.applyEntries([raw]);
    else this.#writer.confirm(decodeEntry(raw.offset, raw.payload));
  }

  #apply(raw: RawEntry): void {
    const entry = decodeEntry(raw.offset, raw.payload);
    this.#reportSkipped(entry);
    this.#state = this.#state.apply(entry);
    this.#nextOffset += 1;
    const checkpoint = this.#collector.collect(entry);
    if (checkpoint !== undefined) {
      this.#checkpointTimer.observe(checkpoint.covers, this.hasCaughtUp);
    }
    this.#options.onApplied(raw);
    this.#writer.confirm(entry);
  }

  #reportSkipped({ offset, records }: LogEntry): void {
    const { logger, metrics, stream } = this.#options;
    for (const record of records) {
      if (record.kind !== "skipped") continue;
      metrics.count("log.record_skipped", 1, { stream });
      logger.warn("record skipped", { stream, offset, reason: record.reason });
    }
  }

  async #deliver(page: LogPage, startedAtMs: number): Promise<boolean> {
    if (page.next < this.#nextOffset) return this.#rejectTruncatedLog(page);
    const isBehind = page.next - this.#nextOffset > SEARCH_THRESHOLD_ENTRIES;
    if (page.first > this.#nextOffset || (isBehind && !this.#hasSearched)) {
      if (!await this.#recover(page)) return false;
    }
    this.applyEntries(page.entries);
    if (this.#nextOffset < page.next) return true;
    this.#currentAtMs = Math.max(this.#currentAtMs, startedAtMs);
    this.#hasSearched = false;
    return true;
  }

  #rejectTruncatedLog(page: LogPage): boolean {
    const { logger, stream } = this.#options;
    logger.error("the log ends before the state", {
      stream,
      logNext: page.next,
      ownNext: this.#nextOffset,
    });
    return false;
  }

  async #recover(page: LogPage): Promise<boolean> {
    const { client, stream, logger } = this.#options;
    const found = await findCheckpoints({ ...page, client, stream });
    if (found.isErr()) return false;
    this.#hasSearched = true;
    for (const checkpoint of found.value) {
      if (!this.restore(checkpoint)) continue;
      this.#checkpointTimer.observe(checkpoint.covers, false);
      break;
    }
    if (page.first <= this.#nextOffset) return true;
    logger.error("no checkpoint reaches the oldest record", { stream });
    return false;
  }
}
