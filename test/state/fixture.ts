/** Test fixtures: journals over an in-memory log, and records. */
import { noMetrics, silentLogger } from "../../src/model/mod.ts";
import { type NodeSettings, type SettingsPath } from "../../src/model/mod.ts";
import {
  createLogJournal,
  type LogJournal,
  type LogJournalOptions,
} from "../../src/client/mod.ts";
import { type RecordOf } from "../../src/state/mod.ts";
import { FakeLog } from "./fake_log.ts";
import { VirtualTime } from "./virtual_time.ts";

/** An in-memory log with its virtual time. */
export interface LogFixture {
  readonly time: VirtualTime;
  readonly log: FakeLog;
  /** Creates a journal over the log without starting it. */
  open(overrides?: Partial<LogJournalOptions>): LogJournal;
}

/** Creates an empty log. */
export function createLogFixture(): LogFixture {
  const time = new VirtualTime();
  const log = new FakeLog(time);
  const options: LogJournalOptions = {
    logUrl: "http://127.0.0.1:1",
    requestShards: 2,
    billShards: 1,
    readsBills: true,
    appendBudgetPerSecond: 300,
    writerCount: () => 1,
    queueLimit: 100,
    retentionMs: 3_600_000,
    clock: time.clock,
    random: () => 0.5,
    sleep: time.sleep,
    logger: silentLogger,
    metrics: noMetrics,
    transport: log.transport,
  };
  return {
    time,
    log,
    open: (overrides) => createLogJournal({ ...options, ...overrides }),
  };
}

/** Returns an edit that sets some fields of a node. */
export function editOf(
  id: string,
  options: {
    readonly path?: SettingsPath;
    readonly set?: NodeSettings;
    readonly base?: number;
  } = {},
): RecordOf<"edit"> {
  return {
    id,
    kind: "edit",
    path: options.path ?? "/",
    change: { set: options.set ?? { maxConcurrent: 1 }, clear: [] },
    base: options.base ?? 0,
    author: `author-${id}`,
    note: "",
  };
}

/** A claim of a key. */
export function claimOf(id: string, key: string): RecordOf<"claim"> {
  return {
    id,
    kind: "claim",
    workspace: "/khomas/heritage",
    key,
    requestId: `request-${id}`,
    bodyHash: "hash",
    vm: "vm-1",
  };
}

/** Returns a bill of a request. */
export function billOf(id: string, requestId: string): RecordOf<"bill"> {
  return {
    id,
    kind: "bill",
    isWhole: true,
    requestId,
    workspace: "/khomas/heritage",
    requestClass: "lookup",
    lines: [],
    priceMicroEur: 7,
    vm: "vm-1",
  };
}
