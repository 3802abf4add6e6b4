/**
 * Interface of the platform's log for the rest of a process: the replayed
 * states and a method to append records. It hides whether records arrive from
 * the log service or from a peer.
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

/** The reason why a record was not confirmed. */
export type JournalFault =
  /** Not appended. */
  | "unavailable"
  /** May have been appended: the response was lost and no replay showed it. */
  | "unknown"
  /** Not appended: the queue of unconfirmed records is full. */
  | "full";

/** A record was not confirmed in the log. */
export class JournalError extends Error {
  override readonly name = "JournalError";

  readonly fault: JournalFault;

  constructor(fault: JournalFault, message: string) {
    super(message);
    this.fault = fault;
  }
}

/** How current the journal's states are. */
export interface Freshness {
  /**
   * Time since the control stream was last read to its end, from the log or
   * from a peer.
   */
  readonly ageMs: number;
  /** Whether the last read of the log service succeeded. */
  readonly isLogReachable: boolean;
}

export interface AppendOptions {
  readonly timeoutMs: number;
}

/** The replayed states and appends to their streams. */
export interface Journal {
  /** The control state as replayed so far. */
  control(): ControlState;
  /** The request state of the shard key's shard. */
  requests(shardKey: string): RequestState;
  /** The bill in force of a request, if this process replays the bills. */
  billOf(
    workspace: SettingsPath,
    requestId: string,
  ): RecordOf<"bill"> | undefined;
  freshness(): Freshness;
  /**
   * Appends a record and waits until this process has replayed it, so that the
   * state shows which of several concurrent records took effect. `shardKey`
   * selects the shard of a request or bill stream. It is the session path,
   * `workspace key` or the request id.
   */
  append(
    record: LogRecord,
    shardKey: string,
    options: AppendOptions,
  ): Promise<Result<Position, JournalError>>;
  /** Calls `listener` after each change; returns the unsubscribe function. */
  onChange(listener: () => void): () => void;
}
