/**
 * One stream of the log as a process holds it: the state by replay, the tail
 * that reads it and the writer that appends to it. An entry is applied only
 * when it directly follows the last one, so the state never has a gap and
 * never moves back.
 */
import { type Result } from "neverthrow";
import { type Clock, type Logger, type Metrics } from "../model/mod.ts";
import {
  decodeEntry,
  type LogEntry,
  type LogRecord,
  type Position,
  type RawEntry,
} from "../state/mod.ts";
import { type JournalError } from "./journal.ts";
import { type LogPage } from "./log_client.ts";
import { LogTail, type TailOptions } from "./log_tail.ts";
import { LogWriter, type WriterOptions } from "./log_writer.ts";

/** A state that replay moves on. */
export interface Replayable<State> {
  readonly position: Position;
  apply(entry: LogEntry): State;
}

type OwnTail = "nextOffset" | "deliver";
type OwnWriter = "readBack" | "onAppended";

/** What a stream needs. */
export interface StreamOptions<State> {
  readonly empty: State;
  /** Whether the stream is replayed; else the log's answer confirms. */
  readonly isRead: boolean;
  readonly onChange: () => void;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tail: Omit<TailOptions, OwnTail>;
  readonly writer: Omit<WriterOptions, OwnWriter>;
}

/** One stream's state, tail and writer. */
export class LogStream<State extends Replayable<State>> {
  readonly #options: StreamOptions<State>;
  readonly #tail: LogTail;
  readonly #writer: LogWriter;
  #state: State;
  #nextOffset = 0;
  #currentMs = Number.NEGATIVE_INFINITY;

  constructor(options: StreamOptions<State>) {
    this.#options = options;
    this.#state = options.empty;
    this.#tail = new LogTail({
      ...options.tail,
      nextOffset: () => this.#nextOffset,
      deliver: (page, startedMs) => this.#deliver(page, startedMs),
    });
    this.#writer = new LogWriter({
      ...options.writer,
      readBack: () =>
        options.isRead ? this.#tail.readToEnd() : Promise.resolve(true),
      onAppended: (entry) => this.#onAppended(entry),
    });
  }

  /** Whether the stream is replayed. */
  get isRead(): boolean {
    return this.#options.isRead;
  }

  /** The state after every entry applied so far. */
  get state(): State {
    return this.#state;
  }

  /** Since the stream was last read to its end. */
  get ageMs(): number {
    return this.#options.clock() - this.#currentMs;
  }

  /** Whether the stream was ever read to its end. */
  get wasCurrent(): boolean {
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
    if (this.isRead) this.#tail.start();
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
  offer(entries: readonly RawEntry[]): void {
    const before = this.#nextOffset;
    for (const raw of entries) {
      if (raw.offset !== this.#nextOffset) continue;
      this.#apply(raw);
    }
    if (this.#nextOffset !== before) this.#options.onChange();
  }

  #onAppended(raw: RawEntry): void {
    if (this.isRead) this.offer([raw]);
    else this.#writer.confirm(decodeEntry(raw.offset, raw.payload));
  }

  #apply(raw: RawEntry): void {
    const entry = decodeEntry(raw.offset, raw.payload);
    this.#state = this.#state.apply(entry);
    this.#nextOffset += 1;
    this.#writer.confirm(entry);
  }

  async #deliver(page: LogPage, startedMs: number): Promise<void> {
    this.offer(page.entries);
    if (this.#nextOffset >= page.next) this.#currentMs = startedMs;
    await Promise.resolve();
  }
}
