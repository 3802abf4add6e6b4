/**
 * Graceful shutdown of an entry: drives the state machine of
 * `src/decision/shutdown.ts` with the components of the entry. Its phases last
 * for the time during which the process ran, so that requests which reach a
 * paused process in time aren't refused.
 */
import {
  applyShutdown,
  createShutdown,
  type ShutdownEffect,
  type ShutdownEvent,
  type ShutdownState,
} from "../decision/mod.ts";
import { processEffects } from "../client/effects.ts";
import { RunningTime } from "../client/mod.ts";
import { type PeerNode } from "../wire/mod.ts";
import { appendBurn } from "./burn_setup.ts";
import { type EntryParts } from "./entry_parts.ts";
import { type HttpServer } from "./http_server.ts";
import { type RunningProgram } from "./program.ts";

const POLL_PERIOD_MS = 50;
const FLUSH_TIMEOUT_MS = 30_000;
const LEFT_ANNOUNCEMENT_DELAY_MS = 100;
/** Probe periods until every peer has received the status `leaving`. */
const SPREAD_PERIODS = 3;

/** Components of an entry with everything its shutdown stops. */
export interface StoppableEntry extends EntryParts {
  readonly node: PeerNode;
  readonly http: HttpServer;
  readonly abortController: AbortController;
  readonly tasks: Promise<unknown>;
}

/** Returns the running entry; repeated calls of `stop` share one shutdown. */
export function createRunningEntry(entry: StoppableEntry): RunningProgram {
  let stopping: Promise<void> | undefined;
  return {
    stop: () => {
      stopping ??= shutDown(entry);
      return stopping;
    },
  };
}

async function shutDown(entry: StoppableEntry): Promise<void> {
  const { logger } = entry.context;
  logger.info("shutdown began");
  const time = new RunningTime(processEffects);
  let state = initialState(entry);
  let event: ShutdownEvent = { kind: "terminate" };
  while (state.phase !== "left") {
    const step = applyShutdown(state, event, time.nowMs());
    for (const effect of step.effects) perform(entry, effect);
    state = step.state;
    if (state.phase === "left") break;
    if (state.phase === "flushing") await flush(entry);
    await time.sleep(POLL_PERIOD_MS);
    event = progressOf(entry);
  }
  await closeAll(entry);
  logger.info("shutdown ended");
}

function initialState({ context }: StoppableEntry): ShutdownState {
  const { entriesMaxAgeMs, probePeriodMs } = context.settings.timing;
  return createShutdown({
    entryMaxAgeMs: entriesMaxAgeMs,
    spreadMs: SPREAD_PERIODS * probePeriodMs,
    flushTimeoutMs: FLUSH_TIMEOUT_MS,
  });
}

function perform(entry: StoppableEntry, effect: ShutdownEffect): void {
  const { logger } = entry.context;
  switch (effect.kind) {
    case "announce":
      return entry.node.announce(effect.status);
    case "refuse_new_work":
      logger.info("new work is refused");
      return entry.handler.stopAccepting();
    case "flush":
      logger.info("no request is in progress");
      return entry.burn.close();
    case "close":
      if (effect.unconfirmedCount === 0) return;
      return logger.error("records were not confirmed", {
        count: effect.unconfirmedCount,
      });
  }
}

async function flush(
  { handler, burn, journal }: StoppableEntry,
): Promise<void> {
  await Promise.all([handler.flush(), appendBurn(burn, journal)]);
}

function progressOf({ handler, burn }: StoppableEntry): ShutdownEvent {
  const { runningCount, waitingCount, heldBillCount, lateRecordCount } = handler
    .status();
  return {
    kind: "progress",
    openCount: runningCount + waitingCount,
    unconfirmedCount: heldBillCount + lateRecordCount + burn.records(1).length,
  };
}

async function closeAll(entry: StoppableEntry): Promise<void> {
  await processEffects.sleep(LEFT_ANNOUNCEMENT_DELAY_MS);
  entry.abortController.abort();
  await Promise.all([entry.http.close(), entry.tasks]);
  await entry.node.close();
  await entry.journal.close();
}
