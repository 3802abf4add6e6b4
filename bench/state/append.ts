/**
 * Measures group commit: several processes' journals in one process append
 * claims as fast as their confirmations come, within the append budget of the
 * log's stand-in. Arguments: journals, appends in flight in each, seconds.
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

function usedKb(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / BYTES_PER_KB;
}

const latency = build();
let appended = 0;
let failed = 0;

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
const beforeKb = usedKb();
const endMs = performance.now() + seconds * MS_PER_S;
const work: Promise<void>[] = [];
for (const [number, journal] of journals.entries()) {
  for (let lane = 0; lane < inFlight; lane += 1) {
    work.push(appendUntil(journal, { name: `c-${number}-${lane}`, endMs }));
  }
}
await Promise.all(work);
const batches = log.recorded.appends.length;
console.log(JSON.stringify({
  journals: journalCount,
  inFlight,
  claimsPerSecond: Math.round(appended / seconds),
  batchesPerSecond: Math.round(batches / seconds),
  refusedByRate: log.recorded.refusedCount,
  failed,
  p50Ms: latency.getValueAtPercentile(50),
  p95Ms: latency.getValueAtPercentile(95),
  p99Ms: latency.getValueAtPercentile(99),
  heapKb: Math.round(usedKb() - beforeKb),
}));
await Promise.all(journals.map((journal) => journal.close()));
await log.close();
