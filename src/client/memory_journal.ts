/**
 * A journal in memory, for unit tests and replay. Several journals over one
 * {@link MemoryLog} represent several VMs. The log can simulate an outage, a
 * lost response or a slow append.
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

/** The simulated result of an append. */
export type AppendMode =
  | "up"
  /** Refused and not appended. */
  | "down"
  /** Appended, but the response is lost. */
  | "reply_lost"
  /** Not appended, and the response is lost. */
  | "lost";

/** The log that several memory journals share. */
export class MemoryLog {
  /** Mode of the next appends. */
  mode: AppendMode = "up";
  /** Awaited before each append; lets a test delay it. */
  beforeAppend: (record: LogRecord) => Promise<void> = () => Promise.resolve();

  readonly #records: LogRecord[] = [];
  readonly #listeners = new Set<() => void>();

  /** All records in order. */
  get records(): readonly LogRecord[] {
    return this.#records;
  }

  /** Appends a record in any mode, as if by another VM. */
  push(record: LogRecord): Position {
    this.#records.push(record);
    for (const listener of this.#listeners) listener();
    return positionOf(this.#records.length - 1, 0);
  }

  /** Calls `listener` after each append; returns the unsubscribe function. */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

/** A journal over a {@link MemoryLog}. */
export class MemoryJournal implements Journal {
  /** Return value of {@link Journal.freshness}. */
  currentFreshness: Freshness = { ageMs: 0, isLogReachable: true };
  /** Whether reading is suspended, as in a paused VM. */
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
        return err(new JournalError("unknown", "the response was lost"));
      case "reply_lost":
        this.#log.push(record);
        return err(new JournalError("unknown", "the response was lost"));
      case "up":
        return ok(this.#log.push(record));
    }
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Applies the records appended since the last call. */
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
