/**
 * One stream of the log as a process holds it: the state by replay, the tail
 * that reads it and the writer that appends to it. An entry is applied only
 * when it directly follows the last one, and a checkpoint only when it covers
 * more than the state, so the state never has a gap and never moves back.
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

/** A state that replay moves on. */
export interface Replayable<State> {
  readonly position: Position;
  apply(entry: LogEntry): State;
}

/** What is particular to one family of streams. */
export interface StreamFamilyOptions<State> {
  readonly empty: State;
  readonly codec: StateCodec<State>;
  /** Whether the stream is replayed; else the log's answer confirms. */
  readonly isReplayed: boolean;
}

type OwnTail = "nextOffset" | "deliver";
type OwnWriter = "readBack" | "onAppended";

/** What a stream needs. */
export interface StreamOptions<State>
  extends
    StreamFamilyOptions<State>,
    Omit<TailOptions, OwnTail>,
    Omit<WriterOptions, OwnWriter> {
  readonly client: LogClient;
  readonly retentionMs: number;
  /** Told of each entry applied. */
  readonly onApplied: (entry: RawEntry) => void;
  readonly onChange: () => void;
}

/** Entries behind the end from which a checkpoint is looked for. */
const SEARCH_ENTRIES = 1000;

/** One stream's state, tail and writer. */
export class LogStream<State extends Replayable<State>> {
  readonly #options: StreamOptions<State>;
  readonly #tail: LogTail;
  readonly #writer: LogWriter;
  readonly #collector = new CheckpointCollector();
  readonly #checkpointTimer: CheckpointTimer;
  #state: State;
  #nextOffset = 0;
  #currentMs = Number.NEGATIVE_INFINITY;
  #hasSearched = false;

  constructor(options: StreamOptions<State>) {
    this.#options = options;
    this.#state = options.empty;
    this.#checkpointTimer = new CheckpointTimer(options);
    this.#tail = new LogTail({
      ...options,
      nextOffset: () => this.#nextOffset,
      deliver: (page, startedMs) => this.#deliver(page, startedMs),
    });
    this.#writer = new LogWriter({
      ...options,
      readBack: () =>
        options.isReplayed ? this.#tail.readToEnd() : Promise.resolve(true),
      onAppended: (entry) => this.#onAppended(entry),
    });
  }

  /** Whether the stream is replayed. */
  get isReplayed(): boolean {
    return this.#options.isReplayed;
  }

  /** The state after every entry applied so far. */
  get state(): State {
    return this.#state;
  }

  /** The offset of the entry that follows the state. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Since the stream was last read to its end. */
  get ageMs(): number {
    return this.#options.clock() - this.#currentMs;
  }

  /** Whether the stream was ever read to its end. */
  get hasCaughtUp(): boolean {
    return this.#currentMs !== Number.NEGATIVE_INFINITY;
  }

  /** Whether the log answered the last read. */
  get isReachable(): boolean {
    return this.#tail.isReachable;
  }

  /** Records that wait for their confirmation. */
  get pendingCount(): number {
    return this.#writer.pendingCount;
  }

  /** Starts to read, where the stream is replayed. */
  start(): void {
    if (this.isReplayed) this.#tail.start();
  }

  /** Stops reading and appending. */
  async close(): Promise<void> {
    this.#writer.close();
    await this.#tail.close();
  }

  /** Appends a record; resolves when it was replayed or the time is over. */
  append(
    record: LogRecord,
    timeoutMs: number,
  ): Promise<Result<Position, JournalError>> {
    return this.#writer.append(record, timeoutMs);
  }

  /** Applies the entries that directly follow; the others change nothing. */
  applyEntries(entries: readonly RawEntry[]): void {
    const before = this.#nextOffset;
    for (const raw of entries) {
      if (raw.offset !== this.#nextOffset) continue;
      this.#apply(raw);
    }
    if (this.#nextOffset !== before) this.#options.onChange();
  }

  /** Notes that the state held all records `ageMs` ago. */
  markCurrent(ageMs: number): void {
    const currentMs = this.#options.clock() - ageMs;
    this.#currentMs = Math.max(this.#currentMs, currentMs);
  }

  /** Takes a checkpoint over if it covers more than the state. */
  restore(checkpoint: CheckpointText): boolean {
    if (checkpoint.covers <= this.#state.position) return false;
    const decoded = this.#options.codec.decode(checkpoint.text);
    if (decoded.isErr() || decoded.value.position !== checkpoint.covers) {
      this.#options.logger.error("checkpoint is faulty", {
        stream: this.#options.stream,
        reason: decoded.isErr() ? decoded.error : "it covers another position",
      });
      return false;
    }
    this.#state = decoded.value;
    this.#nextOffset = offsetOf(checkpoint.covers) + 1;
    this.#options.onChange();
    return true;
  }

  /** Whether this process is to write a checkpoint of the stream now. */
  isCheckpointDue(): boolean {
    if (!this.isReplayed || this.#state.position === 0) return false;
    return this.hasCaughtUp && this.#checkpointTimer.isDue(this.#nextOffset);
  }

  /** Notes that this process wrote a checkpoint or failed to. */
  onCheckpointWritten(isWhole: boolean): void {
    if (!isWhole) this.#checkpointTimer.postpone();
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

  async #deliver(page: LogPage, startedMs: number): Promise<boolean> {
    if (page.next < this.#nextOffset) return this.#refuseOlderLog(page);
    const isBehind = page.next - this.#nextOffset > SEARCH_ENTRIES;
    if (page.first > this.#nextOffset || (isBehind && !this.#hasSearched)) {
      if (!await this.#recover(page)) return false;
    }
    this.applyEntries(page.entries);
    if (this.#nextOffset < page.next) return true;
    this.#currentMs = Math.max(this.#currentMs, startedMs);
    this.#hasSearched = false;
    return true;
  }

  #refuseOlderLog(page: LogPage): boolean {
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
