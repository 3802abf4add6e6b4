/**
 * The journal over the platform's log service: one stream for control, and
 * shards of requests and bills. In an outage of the log every append waits
 * until its own timeout and then says what is known of the record; reads go on
 * from the states replayed so far.
 */
import { err, type Result } from "neverthrow";
import {
  type Clock,
  type Logger,
  type Metrics,
  type Random,
  type Sleep,
} from "../model/mod.ts";
import {
  ControlState,
  familyOf,
  LedgerState,
  type LogRecord,
  type Position,
  type RawEntry,
  type RecordOf,
  recordSchema,
  RequestState,
} from "../state/mod.ts";
import {
  type AppendOptions,
  type Freshness,
  type Journal,
  JournalError,
} from "./journal.ts";
import {
  createLogTransport,
  LogClient,
  type LogTransport,
} from "./log_client.ts";
import { AppendPace } from "./log_pace.ts";
import {
  LogStream,
  type Replayable,
  type StreamOptions,
} from "./log_stream.ts";
import { shardOf } from "./shard.ts";

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
  whenCurrent(timeoutMs: number): Promise<boolean>;
  /** Resolves when no record waits for its confirmation. */
  flush(timeoutMs: number): Promise<boolean>;
  /** Stops; records still waiting end as unavailable or unknown. */
  close(): Promise<void>;
  /**
   * Entries of the control stream after a peer's position, at most `limit`. A
   * peer that is too far behind gets a checkpoint instead: entries of offset -1
   * that carry its parts, all of them whatever the limit.
   */
  recordsAfter(position: Position, limit: number): RawEntry[];
  /** Takes a peer's entries; those that do not directly follow are dropped. */
  offer(entries: readonly RawEntry[], peer?: PeerFreshness): void;
}

const POLL_WAIT_MS = 2000;
const WAIT_STEP_MS = 20;

/** Creates a journal; it reads nothing before `start`. */
export function createLogJournal(options: LogJournalOptions): LogJournal {
  return new StreamJournal(options);
}

class StreamJournal implements LogJournal {
  readonly #options: LogJournalOptions;
  readonly #client: LogClient;
  readonly #pace: AppendPace;
  readonly #control: LogStream<ControlState>;
  readonly #requests: readonly LogStream<RequestState>[];
  readonly #bills: readonly LogStream<LedgerState>[];
  readonly #listeners = new Set<() => void>();
  readonly #closeTransport: () => Promise<void>;

  constructor(options: LogJournalOptions) {
    this.#options = options;
    const http = options.transport === undefined
      ? createLogTransport(options.logUrl)
      : { send: options.transport, close: () => Promise.resolve() };
    this.#closeTransport = http.close;
    this.#client = new LogClient(http.send);
    this.#pace = new AppendPace(options);
    this.#control = this.#open("control", {
      empty: ControlState.empty,
      isRead: true,
    });
    this.#requests = shards(options.requestShards).map((shard) =>
      this.#open(`requests-${shard}`, {
        empty: RequestState.empty,
        isRead: true,
      })
    );
    this.#bills = shards(options.billShards).map((shard) =>
      this.#open(`bills-${shard}`, {
        empty: LedgerState.empty,
        isRead: options.readsBills,
      })
    );
  }

  control(): ControlState {
    return this.#control.state;
  }

  requests(shardKey: string): RequestState {
    return pick(this.#requests, shardKey).state;
  }

  billOf(requestId: string): RecordOf<"bill"> | undefined {
    return pick(this.#bills, requestId).state.billOf(requestId);
  }

  freshness(): Freshness {
    return {
      ageMs: this.#control.ageMs,
      isLogReachable: this.#control.isReachable,
    };
  }

  append(
    record: LogRecord,
    shardKey: string,
    options: AppendOptions,
  ): Promise<Result<Position, JournalError>> {
    const fault = brokenRule(record);
    if (fault !== undefined) {
      return Promise.resolve(err(new JournalError("unavailable", fault)));
    }
    return this.#streamOf(record, shardKey).append(record, options.timeoutMs);
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => void this.#listeners.delete(listener);
  }

  start(): void {
    for (const stream of this.#streams()) stream.start();
  }

  whenCurrent(timeoutMs: number): Promise<boolean> {
    return this.#until(timeoutMs, () => {
      for (const stream of this.#streams()) {
        if (stream.isRead && !stream.wasCurrent) return false;
      }
      return true;
    });
  }

  flush(timeoutMs: number): Promise<boolean> {
    return this.#until(timeoutMs, () => {
      for (const stream of this.#streams()) {
        if (stream.pendingCount > 0) return false;
      }
      return true;
    });
  }

  async close(): Promise<void> {
    await Promise.all(this.#streams().map((stream) => stream.close()));
    await this.#closeTransport();
  }

  recordsAfter(_position: Position, _limit: number): RawEntry[] {
    return [];
  }

  offer(entries: readonly RawEntry[], _peer?: PeerFreshness): void {
    this.#control.offer(entries);
  }

  #open<State extends Replayable<State>>(
    stream: string,
    family: Pick<StreamOptions<State>, "empty" | "isRead">,
  ): LogStream<State> {
    const { clock, random, sleep, logger, metrics } = this.#options;
    const common = { stream, client: this.#client, clock, random, sleep };
    const effects = { ...common, logger, metrics };
    return new LogStream({
      ...family,
      onChange: () => this.#notify(),
      clock,
      logger,
      metrics,
      tail: { ...effects, waitMs: this.#options.pollWaitMs ?? POLL_WAIT_MS },
      writer: {
        ...effects,
        pace: this.#pace,
        queueLimit: this.#options.queueLimit,
      },
    });
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  #streams(): LogStream<ControlState | RequestState | LedgerState>[] {
    return [this.#control, ...this.#requests, ...this.#bills] as LogStream<
      ControlState | RequestState | LedgerState
    >[];
  }

  #streamOf(
    record: LogRecord,
    shardKey: string,
  ):
    | LogStream<ControlState>
    | LogStream<RequestState>
    | LogStream<
      LedgerState
    > {
    switch (familyOf(record.kind)) {
      case "control":
        return this.#control;
      case "requests":
        return pick(this.#requests, shardKey);
      case "bills":
        return pick(this.#bills, shardKey);
    }
  }

  async #until(timeoutMs: number, isTrue: () => boolean): Promise<boolean> {
    const { clock, sleep } = this.#options;
    const deadlineMs = clock() + timeoutMs;
    while (!isTrue()) {
      if (clock() >= deadlineMs) return false;
      await sleep(WAIT_STEP_MS);
    }
    return true;
  }
}

function shards(count: number): number[] {
  return Array.from({ length: count }, (_, shard) => shard);
}

function pick<T>(streams: readonly T[], shardKey: string): T {
  const stream = streams[shardOf(shardKey, streams.length)];
  if (stream === undefined) throw new Error("a journal has no shard");
  return stream;
}

function brokenRule(record: LogRecord): string | undefined {
  const parsed = recordSchema.safeParse(record);
  if (parsed.success) return undefined;
  const issue = parsed.error.issues[0];
  return `${record.kind}.${issue?.path.join(".")}: ${issue?.message}`;
}
