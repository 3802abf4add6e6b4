/** Creates the journal of a process from its settings. */
import { createLogJournal, type LogJournal } from "../client/mod.ts";
import { processEffects } from "../client/effects.ts";
import { type ProgramContext } from "./program.ts";

/** Options that differ between the programs. */
export interface JournalSetup {
  readonly readsBills: boolean;
  /** Number of processes that currently append to the log. */
  readonly writerCount: () => number;
}

/** Creates the journal of the log; it reads nothing before `start`. */
export function openJournal(
  context: ProgramContext,
  setup: JournalSetup,
): LogJournal {
  const { platform, log } = context.settings;
  return createLogJournal({
    ...setup,
    ...processEffects,
    logUrl: platform.logUrl,
    requestShards: log.requestShards,
    billShards: log.billShards,
    appendBudgetPerSecond: log.appendBudgetPerSecond,
    queueLimit: log.queueLimit,
    retentionMs: log.retentionMs,
    logger: context.logger,
    metrics: context.metrics,
  });
}
