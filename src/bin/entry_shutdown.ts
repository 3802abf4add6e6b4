/**
 * The graceful shutdown of an entry: it is no longer handed out, keeps accepting
 * until the addresses that callers hold have aged out, then refuses new work,
 * finishes what is in progress, flushes its records and leaves.
 */
import { processEffects } from "../platform/effects.ts";
import { type PeerNode } from "../wire/mod.ts";
import { type EntryParts } from "./entry_program.ts";
import { type HttpServer } from "./http_server.ts";
import { type RunningProgram } from "./program.ts";

const DRAIN_STEP_MS = 50;
const FLUSH_TIMEOUT_MS = 30_000;
const FAREWELL_MS = 100;

/** What is ended, beside the parts of the entry. */
export interface EntryEnding extends EntryParts {
  readonly node: PeerNode;
  readonly http: HttpServer;
  readonly ending: AbortController;
  readonly tasks: Promise<unknown>;
}

/** The running entry, whose `stop` may be called more than once. */
export function endEntry(entry: EntryEnding): RunningProgram {
  let stopping: Promise<void> | undefined;
  return {
    stop: () => {
      stopping ??= shutDown(entry);
      return stopping;
    },
  };
}

async function shutDown(entry: EntryEnding): Promise<void> {
  const { context, handler, journal, node, http } = entry;
  const { logger, settings } = context;
  logger.info("shutdown began");
  node.announce("leaving");
  await processEffects.sleep(settings.timing.entriesMaxAgeMs);
  handler.stopAccepting();
  logger.info("new work is refused");
  await drained(entry);
  await flushed(entry);
  node.announce("left");
  await processEffects.sleep(FAREWELL_MS);
  entry.ending.abort();
  await Promise.all([http.close(), entry.tasks]);
  await node.close();
  await journal.close();
  logger.info("shutdown ended");
}

async function drained({ handler }: EntryEnding): Promise<void> {
  while (true) {
    const { runningCount, waitingCount } = handler.status();
    if (runningCount + waitingCount === 0) return;
    await processEffects.sleep(DRAIN_STEP_MS);
  }
}

async function flushed({ handler, journal }: EntryEnding): Promise<void> {
  const deadlineMs = processEffects.clock() + FLUSH_TIMEOUT_MS;
  while (processEffects.clock() < deadlineMs) {
    await handler.flush();
    const { heldBillCount, lateRecordCount } = handler.status();
    if (heldBillCount + lateRecordCount === 0) break;
    await processEffects.sleep(DRAIN_STEP_MS);
  }
  await journal.flush(Math.max(0, deadlineMs - processEffects.clock()));
}
