/**
 * The journal over the platform's log service: one control stream and the
 * shards of the request and bill streams. During an outage of the log, reads
 * return the states replayed so far, and each append waits for its own timeout
 * and then reports whether the record may have been appended.
 */
import { err, type Result } from "neverthrow";
import { type SettingsPath } from "../model/mod.ts";
import {
  controlCodec,
  ControlState,
  familyOf,
  ledgerCodec,
  LedgerState,
  type LedgerTotal,
  type LogRecord,
  type Position,
  type RawEntry,
  type RecordOf,
  recordSchema,
  requestCodec,
  RequestState,
} from "../state/mod.ts";
import { ControlFeed } from "./control_feed.ts";
import { type AppendOptions, type Freshness, JournalError } from "./journal.ts";
import { createLogTransport, LogClient } from "./log_client.ts";
import {
  type LogJournal,
  type LogJournalOptions,
  type PeerFreshness,
} from "./log_journal.ts";
import { runCheckpoints, writeCheckpointIfDue } from "./log_checkpoints.ts";
import { AppendPacer } from "./append_pacer.ts";
import {
  LogStream,
  type Replayable,
  type StreamFamilyOptions,
} from "./log_stream.ts";
import { shardOf } from "./shard.ts";

const POLL_WAIT_MS = 2000;
const WAIT_INTERVAL_MS = 20;

/** Creates a journal, which reads nothing before `start`. */
export function createLogJournal(options: LogJournalOptions): LogJournal {
  return new StreamJournal(options);
}

class StreamJournal implements LogJournal {
  readonly #options: LogJournalOptions;
  readonly #client: LogClient;
  readonly #pacer: AppendPacer;
  readonly #feed = new ControlFeed();
  readonly #control: LogStream<ControlState>;
  readonly #requests: readonly LogStream<RequestState>[];
  readonly #bills: readonly LogStream<LedgerState>[];
  readonly #listeners = new Set<() => void>();
  readonly #closing = new AbortController();
  readonly #closeTransport: () => Promise<void>;
  #checkpoints: Promise<void> | undefined;

  constructor(options: LogJournalOptions) {
    this.#options = options;
    const http = options.transport === undefined
      ? createLogTransport(options.logUrl)
      : { send: options.transport, close: () => Promise.resolve() };
    this.#closeTransport = http.close;
    this.#client = new LogClient(http.send);
    this.#pacer = new AppendPacer(options);
    this.#control = this.#open("control", {
      empty: ControlState.empty,
      codec: controlCodec,
      isReplayed: true,
    }, (entry) => this.#feed.push(entry));
    this.#requests = shardIndexes(options.requestShards).map((shard) =>
      this.#open(`requests-${shard}`, {
        empty: RequestState.empty,
        codec: requestCodec,
        isReplayed: true,
      })
    );
    this.#bills = shardIndexes(options.billShards).map((shard) =>
      this.#open(`bills-${shard}`, {
        empty: LedgerState.empty,
        codec: ledgerCodec,
        isReplayed: options.readsBills,
      })
    );
  }

  control(): ControlState {
    return this.#control.state;
  }

  requests(shardKey: string): RequestState {
    return shardFor(this.#requests, shardKey).state;
  }

  billOf(
    workspace: SettingsPath,
    requestId: string,
  ): RecordOf<"bill"> | undefined {
    return shardFor(this.#bills, requestId).state.billOf(workspace, requestId);
  }

  billedTotals(): ReadonlyMap<SettingsPath, LedgerTotal> {
    const totals = new Map<SettingsPath, LedgerTotal>();
    for (const { state } of this.#bills) {
      for (const [workspace, added] of state.totals) {
        const sum = totals.get(workspace);
        totals.set(workspace, {
          billCount: added.billCount + (sum?.billCount ?? 0),
          priceMicroEur: added.priceMicroEur + (sum?.priceMicroEur ?? 0),
        });
      }
    }
    return totals;
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
    const issue = validationIssue(record);
    if (issue !== undefined) {
      return Promise.resolve(err(new JournalError("unavailable", issue)));
    }
    return this.#streamOf(record, shardKey).append(record, options.timeoutMs);
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => void this.#listeners.delete(listener);
  }

  start(): void {
    for (const stream of this.#streams()) stream.start();
    if (this.#options.writesCheckpoints === false) return;
    this.#checkpoints ??= runCheckpoints(() => this.#writeCheckpoints(), {
      ...this.#options,
      signal: this.#closing.signal,
    });
  }

  whenCaughtUp(timeoutMs: number): Promise<boolean> {
    return this.#until(timeoutMs, () => {
      for (const stream of this.#streams()) {
        if (stream.isReplayed && !stream.hasCaughtUp) return false;
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
    this.#closing.abort();
    await Promise.all(this.#streams().map((stream) => stream.close()));
    await this.#checkpoints;
    await this.#closeTransport();
  }

  recordsAfter(position: Position, limit: number): RawEntry[] {
    const { state, nextOffset } = this.#control;
    return this.#feed.after(position, { state, nextOffset, limit });
  }

  applyPeerEntries(entries: readonly RawEntry[], peer?: PeerFreshness): void {
    const checkpoint = this.#feed.collect(entries);
    if (checkpoint !== undefined) this.#control.restore(checkpoint);
    this.#control.applyEntries(entries);
    if (peer === undefined || peer.position > this.control().position) return;
    this.#control.markCurrent(peer.ageMs);
  }

  #open<State extends Replayable<State>>(
    stream: string,
    family: StreamFamilyOptions<State>,
    onApplied: (entry: RawEntry) => void = () => {},
  ): LogStream<State> {
    return new LogStream({
      ...this.#options,
      ...family,
      stream,
      client: this.#client,
      pacer: this.#pacer,
      waitMs: this.#options.pollWaitMs ?? POLL_WAIT_MS,
      onApplied,
      onChange: () => this.#notify(),
    });
  }

  async #writeCheckpoints(): Promise<void> {
    const options = this.#options;
    await writeCheckpointIfDue({
      name: "control",
      stream: this.#control,
      codec: controlCodec,
    }, options);
    for (const [shard, stream] of this.#requests.entries()) {
      const name = `requests-${shard}`;
      await writeCheckpointIfDue(
        { name, stream, codec: requestCodec },
        options,
      );
    }
    for (const [shard, stream] of this.#bills.entries()) {
      const name = `bills-${shard}`;
      await writeCheckpointIfDue({ name, stream, codec: ledgerCodec }, options);
    }
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
        return shardFor(this.#requests, shardKey);
      case "bills":
        return shardFor(this.#bills, shardKey);
    }
  }

  async #until(timeoutMs: number, isTrue: () => boolean): Promise<boolean> {
    const { clock, sleep } = this.#options;
    const deadlineMs = clock() + timeoutMs;
    while (!isTrue()) {
      if (clock() >= deadlineMs) return false;
      await sleep(WAIT_INTERVAL_MS);
    }
    return true;
  }
}

function shardIndexes(count: number): number[] {
  return Array.from({ length: count }, (_, shard) => shard);
}

function shardFor<T>(streams: readonly T[], shardKey: string): T {
  const stream = streams[shardOf(shardKey, streams.length)];
  if (stream === undefined) throw new Error("the stream family has no shards");
  return stream;
}

function validationIssue(record: LogRecord): string | undefined {
  const parsed = recordSchema.safeParse(record);
  if (parsed.success) return undefined;
  const issue = parsed.error.issues[0];
  return `${record.kind}.${issue?.path.join(".")}: ${issue?.message}`;
}
