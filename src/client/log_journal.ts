/**
 * Interface and settings of the journal over the platform's log service. It
 * extends {@link Journal} with start and stop, bill totals, and the exchange of
 * control entries between VMs.
 */
import {
  type Clock,
  type Logger,
  type Metrics,
  type Random,
  type SettingsPath,
  type Sleep,
} from "../model/mod.ts";
import {
  type LedgerTotal,
  type Position,
  type RawEntry,
} from "../state/mod.ts";
import { type Journal } from "./journal.ts";
import { type LogTransport } from "./log_client.ts";

/** Settings of a journal, with its clock, random source and timer. */
export interface LogJournalOptions {
  readonly logUrl: string;
  /** Shards of the request streams; must be equal in every process. */
  readonly requestShards: number;
  /** Shards of the bill streams; must be equal in every process. */
  readonly billShards: number;
  /** Whether this process replays the bill streams. */
  readonly readsBills: boolean;
  /** Appends per second of all writers together. */
  readonly appendBudgetPerSecond: number;
  /** Current number of processes that append. */
  readonly writerCount: () => number;
  /** Maximum number of unconfirmed records per stream. */
  readonly queueLimit: number;
  /** How long the log retains a record. */
  readonly retentionMs: number;
  /** Whether this process writes checkpoints; true by default. */
  readonly writesCheckpoints?: boolean;
  /** Long-poll time of a read. */
  readonly pollWaitMs?: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly sleep: Sleep;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Sends calls to the log; over HTTP to `logUrl` by default. */
  readonly transport?: LogTransport;
}

/** Position and age of a peer's control state, as the peer reports them. */
export interface PeerFreshness {
  readonly position: Position;
  readonly ageMs: number;
}

/** A journal that reads from the log service and from peers. */
export interface LogJournal extends Journal {
  /** Starts reading the streams and writing checkpoints. */
  start(): void;
  /**
   * Resolves with true once every replayed stream has been read to its end, and
   * with false on a timeout.
   */
  whenCaughtUp(timeoutMs: number): Promise<boolean>;
  /** Resolves with true once no record is unconfirmed, false on a timeout. */
  flush(timeoutMs: number): Promise<boolean>;
  /** Totals billed by workspace; empty unless the process replays bills. */
  billedTotals(): ReadonlyMap<SettingsPath, LedgerTotal>;
  /** Stops; unconfirmed records fail as `unavailable` or `unknown`. */
  close(): Promise<void>;
  /**
   * Returns at most `limit` entries of the control stream after a peer's
   * position. A peer that is too far behind gets all parts of a checkpoint
   * instead, regardless of the limit, as entries with offset -1.
   */
  recordsAfter(position: Position, limit: number): RawEntry[];
  /**
   * Applies a peer's entries of the control stream. Entries that do not
   * directly follow the state are dropped.
   */
  applyPeerEntries(entries: readonly RawEntry[], peer?: PeerFreshness): void;
}
