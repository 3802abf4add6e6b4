/**
 * The journal is what the rest of a process sees of the platform's log: the
 * states by replay and a way to append. How records arrive, from the log or
 * from a peer, is behind it.
 */
import { type Result } from "neverthrow";
import { type SettingsPath } from "../model/mod.ts";
import {
  type ControlState,
  type LogRecord,
  type Position,
  type RecordOf,
  type RequestState,
} from "../state/mod.ts";

/** Why a record could not be confirmed in the log. */
export type JournalFault =
  /** Certainly not appended. */
  | "unavailable"
  /** May have been appended; its reply was lost and it was not read back. */
  | "unknown"
  /** Not appended: the queue of records to append is full. */
  | "full";

/** A record that could not be confirmed in the log. */
export class JournalError extends Error {
  override readonly name = "JournalError";

  /** What is known of the record. */
  readonly fault: JournalFault;

  constructor(fault: JournalFault, message: string) {
    super(message);
    this.fault = fault;
  }
}

/** How current the journal's states are. */
export interface Freshness {
  /** Since the control stream was last read to its end, from log or peer. */
  readonly ageMs: number;
  /** Whether the log itself answered the last read. */
  readonly isLogReachable: boolean;
}

/** Bounds of one append. */
export interface AppendOptions {
  readonly timeoutMs: number;
}

/** The states by replay, and appends to them. */
export interface Journal {
  /** The control state in force. */
  control(): ControlState;
  /** The request state of the shard that a shard key belongs to. */
  requests(shardKey: string): RequestState;
  /** The bill that counts for a request, where this process reads bills. */
  billOf(
    workspace: SettingsPath,
    requestId: string,
  ): RecordOf<"bill"> | undefined;
  freshness(): Freshness;
  /**
   * Appends a record and waits until this process has replayed it, so that the
   * state tells which record won. `shardKey` chooses the shard of a request or
   * bill stream: the session path, `workspace key` or the request id.
   */
  append(
    record: LogRecord,
    shardKey: string,
    options: AppendOptions,
  ): Promise<Result<Position, JournalError>>;
  /** Calls `listener` after each change; returns a function that stops it. */
  onChange(listener: () => void): () => void;
}
