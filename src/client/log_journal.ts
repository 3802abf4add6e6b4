/**
 * The journal over the platform's log service, as the programs see it: its
 * settings, and what it offers beyond {@link Journal} to the wire between VMs.
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

/** Settings and effects of a journal. */
export interface LogJournalOptions {
  readonly logUrl: string;
  /** Shards of the request and bill streams; alike in every process. */
  readonly requestShards: number;
  readonly billShards: number;
  /** Whether this process replays the bill streams. */
  readonly readsBills: boolean;
  /** Appends a second that all writers together may make. */
  readonly appendBudgetPerSecond: number;
  /** Processes that append at present. */
  readonly writerCount: () => number;
  /** The most records of one stream that may wait for confirmation. */
  readonly queueLimit: number;
  /** How long the log keeps a record. */
  readonly retentionMs: number;
  /** Whether this process writes checkpoints; true by default. */
  readonly writesCheckpoints?: boolean;
  /** How long one poll of the log may wait for new records. */
  readonly pollWaitMs?: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly sleep: Sleep;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Carries calls to the log; over HTTP to `logUrl` by default. */
  readonly transport?: LogTransport;
}

/** What a peer says of its own control state. */
export interface PeerFreshness {
  readonly position: Position;
  readonly ageMs: number;
}

/** A journal that is fed by the log and by peers. */
export interface LogJournal extends Journal {
  /** Starts to read the streams. */
  start(): void;
  /** Resolves when every stream was read to its end once. */
  whenCaughtUp(timeoutMs: number): Promise<boolean>;
  /** Resolves when no record waits for its confirmation. */
  flush(timeoutMs: number): Promise<boolean>;
  /** What each workspace has been billed, where this process reads bills. */
  billedTotals(): ReadonlyMap<SettingsPath, LedgerTotal>;
  /** Stops; records still waiting end as unavailable or unknown. */
  close(): Promise<void>;
  /**
   * Entries of the control stream after a peer's position, at most `limit`. A
   * peer that is too far behind gets a checkpoint instead: entries of offset -1
   * that carry its parts, all of them whatever the limit.
   */
  recordsAfter(position: Position, limit: number): RawEntry[];
  /** Takes a peer's entries; those that do not directly follow are dropped. */
  applyPeerEntries(entries: readonly RawEntry[], peer?: PeerFreshness): void;
}
