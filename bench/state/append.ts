/**
 * Measures group commit: several journals append claims, each sending the next
 * one when the last is confirmed, within the append budget of the stand-in log.
 * The journals of several processes are simulated in one.
 *
 * Usage: node dist/bench/state/append.js [JOURNALS] [APPENDS_PER_JOURNAL]
 *   [SECONDS], where appends are those in flight at a time
 */
import process from "node:process";
import { performance } from "node:perf_hooks";
import { build } from "hdr-histogram-js";
import { noMetrics, silentLogger } from "../../src/model/mod.ts";
import { processEffects } from "../../src/client/effects.ts";
import { createLogJournal, type LogJournal } from "../../src/client/mod.ts";
import { LogStandin } from "../../standin/mod.ts";

const BUDGET_PER_SECOND = 300;
const REQUEST_SHARDS = 4;
const BYTES_PER_KB = 1024;
const MS_PER_S = 1000;

const journalCount = Number(process.argv[2] ?? 8);
const inFlight = Number(process.argv[3] ?? 50);
const seconds = Number(process.argv[4] ?? 10);

function openJournal(logUrl: string): LogJournal {
  return createLogJournal({
    ...processEffects,
    logUrl,
    requestShards: REQUEST_SHARDS,
    billShards: 1,
    readsBills: false,
    writesCheckpoints: false,
    appendBudgetPerSecond: BUDGET_PER_SECOND,
    writerCount: () => journalCount,
    queueLimit: 10_000,
    retentionMs: 3_600_000,
    logger: silentLogger,
    metrics: noMetrics,
  });
}

function usedHeapKb(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / BYTES_PER_KB;
}

const latency = build();
let appended = 0;
let failed = 0;

/** Appends claims one after the other until a time. */
async function appendUntil(
  journal: LogJournal,
  options: { readonly name: string; readonly endMs: number },
): Promise<void> {
  for (let index = 0; performance.now() < options.endMs; index += 1) {
    const id = `${options.name}-${index}`;
    const startMs = performance.now();
    const outcome = await journal.append(
      {
        id,
        kind: "claim",
        workspace: "/khomas/heritage",
        key: id,
        requestId: id,
        bodyHash: "0123456789abcdef",
        vm: "vm-1",
      },
      id,
      { timeoutMs: 5000 },
    );
    latency.recordValue(performance.now() - startMs);
    if (outcome.isOk()) appended += 1;
    else failed += 1;
  }
}

const log = new LogStandin({ appendsPerSecond: BUDGET_PER_SECOND });
const logUrl = `http://${await log.listen()}`;
const journals = Array.from(
  { length: journalCount },
  () => openJournal(logUrl),
);
for (const journal of journals) journal.start();
for (const journal of journals) await journal.whenCaughtUp(5000);
const beforeKb = usedHeapKb();
const endMs = performance.now() + seconds * MS_PER_S;
const appendLoops: Promise<void>[] = [];
for (const [index, journal] of journals.entries()) {
  for (let loop = 0; loop < inFlight; loop += 1) {
    appendLoops.push(
      appendUntil(journal, { name: `c-${index}-${loop}`, endMs }),
    );
  }
}
await Promise.all(appendLoops);
const batchCount = log.recorded.appends.length;
console.log(JSON.stringify({
  journals: journalCount,
  inFlight,
  claimsPerSecond: Math.round(appended / seconds),
  batchesPerSecond: Math.round(batchCount / seconds),
  refusedByRate: log.recorded.refusedCount,
  failed,
  p50Ms: latency.getValueAtPercentile(50),
  p95Ms: latency.getValueAtPercentile(95),
  p99Ms: latency.getValueAtPercentile(99),
  heapKb: Math.round(usedHeapKb() - beforeKb),
}));
await Promise.all(journals.map((journal) => journal.close()));
await log.close();
