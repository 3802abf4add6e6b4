/**
 * A journal in memory, for unit tests and replay. Several journals over one
 * {@link MemoryLog} stand for several VMs. Switches bring about an outage, a
 * lost reply, or a slow append.
 */
import { err, ok, type Result } from "neverthrow";
import { type SettingsPath } from "../model/mod.ts";
import {
  ControlState,
  familyOf,
  LedgerState,
  type LogRecord,
  type Position,
  positionOf,
  type RecordOf,
  RequestState,
} from "../state/mod.ts";
import { type Freshness, type Journal, JournalError } from "./journal.ts";

/** How the log treats an append. */
export type AppendMode =
  | "up"
  /** Refused; certainly not appended. */
  | "down"
  /** Appended, but the reply is lost. */
  | "reply_lost"
  /** Not appended, and the reply is lost as well. */
  | "lost";

/** The log that several memory journals share. */
export class MemoryLog {
  /** What becomes of the next appends. */
  mode: AppendMode = "up";
  /** Called before each append; a test holds appends back with it. */
  beforeAppend: (record: LogRecord) => Promise<void> = () => Promise.resolve();

  readonly #records: LogRecord[] = [];
  readonly #readers = new Set<() => void>();

  /** All records in order. */
  get records(): readonly LogRecord[] {
    return this.#records;
  }

  /** Appends a record whatever the mode, as another VM would. */
  push(record: LogRecord): Position {
    this.#records.push(record);
    for (const reader of this.#readers) reader();
    return positionOf(this.#records.length - 1, 0);
  }

  /** Calls `reader` after each append. */
  subscribe(reader: () => void): () => void {
    this.#readers.add(reader);
    return () => this.#readers.delete(reader);
  }
}

/** A journal over a {@link MemoryLog}. */
export class MemoryJournal implements Journal {
  /** What {@link Journal.freshness} answers. */
  currentFreshness: Freshness = { ageMs: 0, isLogReachable: true };
  /** Whether this journal has stopped reading, as a paused VM has. */
  isPaused = false;

  readonly #log: MemoryLog;
  readonly #listeners = new Set<() => void>();
  #control = ControlState.empty;
  #requests = RequestState.empty;
  #ledger = LedgerState.empty;
  #readCount = 0;

  constructor(log: MemoryLog) {
    this.#log = log;
    log.subscribe(() => this.catchUp());
    this.catchUp();
  }

  control(): ControlState {
    return this.#control;
  }

  requests(_shardKey: string): RequestState {
    return this.#requests;
  }

  billOf(
    workspace: SettingsPath,
    requestId: string,
  ): RecordOf<"bill"> | undefined {
    return this.#ledger.billOf(workspace, requestId);
  }

  freshness(): Freshness {
    return this.currentFreshness;
  }

  async append(
    record: LogRecord,
    _shardKey: string,
  ): Promise<Result<Position, JournalError>> {
    await this.#log.beforeAppend(record);
    switch (this.#log.mode) {
      case "down":
        return err(new JournalError("unavailable", "the log is down"));
      case "lost":
        return err(new JournalError("unknown", "the reply was lost"));
      case "reply_lost":
        this.#log.push(record);
        return err(new JournalError("unknown", "the reply was lost"));
      case "up":
        return ok(this.#log.push(record));
    }
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Applies the records that were not read yet. */
  catchUp(): void {
    if (this.isPaused) return;
    const records = this.#log.records;
    const start = this.#readCount;
    this.#readCount = records.length;
    for (const [index, record] of records.slice(start).entries()) {
      this.#apply(start + index, record);
    }
    if (records.length === start) return;
    for (const listener of this.#listeners) listener();
  }

  #apply(offset: number, record: LogRecord): void {
    const entry = { offset, records: [record] };
    switch (familyOf(record.kind)) {
      case "control":
        this.#control = this.#control.apply(entry);
        break;
      case "requests":
        this.#requests = this.#requests.apply(entry);
        break;
      case "bills":
        this.#ledger = this.#ledger.apply(entry);
    }
  }
}
