/**
 * Measures the time until the journal of a new process has read a number of
 * edits over HTTP from the stand-in log, with and without a checkpoint.
 *
 * Usage: node dist/bench/state/ready.js [EDITS]
 */
import process from "node:process";
import { performance } from "node:perf_hooks";
import { noMetrics, silentLogger } from "../../src/model/mod.ts";
import { processEffects } from "../../src/client/effects.ts";
import { createLogJournal, type LogJournal } from "../../src/client/mod.ts";
import {
  controlCodec,
  encodeBatch,
  splitCheckpoint,
} from "../../src/state/mod.ts";
import { LogStandin } from "../../standin/mod.ts";
import { editPayload } from "./payloads.ts";

const TIMEOUT_MS = 60_000;
const EDITS_AFTER_CHECKPOINT = 100;

function openJournal(logUrl: string): LogJournal {
  return createLogJournal({
    ...processEffects,
    logUrl,
    requestShards: 1,
    billShards: 1,
    readsBills: false,
    writesCheckpoints: false,
    appendBudgetPerSecond: 300,
    writerCount: () => 1,
    queueLimit: 100,
    retentionMs: 3_600_000,
    logger: silentLogger,
    metrics: noMetrics,
  });
}

/** Opens a journal, waits until it is current and prints the time taken. */
async function measureReady(logUrl: string): Promise<LogJournal> {
  const startMs = performance.now();
  const journal = openJournal(logUrl);
  journal.start();
  if (!await journal.whenCaughtUp(TIMEOUT_MS)) throw new Error("not caught up");
  const readyMs = Math.round(performance.now() - startMs);
  const { revision } = journal.control();
  console.log(JSON.stringify({ edits: count, step, readyMs, revision }));
  return journal;
}

const count = Number(process.argv[2] ?? 20_000);
const log = new LogStandin({});
for (let index = 0; index < count; index += 1) {
  log.append("control", editPayload(index));
}
const logUrl = `http://${await log.listen()}`;
let step = "without checkpoint";
const first = await measureReady(logUrl);
const text = controlCodec.encode(first.control());
const covers = first.control().position;
const parts = splitCheckpoint({ covers, text }, "c")._unsafeUnwrap();
for (const part of parts) log.append("control", encodeBatch([part]));
for (let index = 0; index < EDITS_AFTER_CHECKPOINT; index += 1) {
  log.append("control", editPayload(count + index));
}
step = `with a checkpoint of ${parts.length} parts`;
const second = await measureReady(logUrl);
await Promise.all([first.close(), second.close(), log.close()]);
