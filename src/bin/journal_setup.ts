/** The journal of a process, from its settings. */
import { createLogJournal, type LogJournal } from "../client/mod.ts";
import { processEffects } from "../client/effects.ts";
import { type ProgramContext } from "./program.ts";

/** What differs between the journals of the programs. */
export interface JournalSetup {
  readonly readsBills: boolean;
  /** Processes that append at present. */
  readonly writerCount: () => number;
}

/** Opens the journal over the log; it reads nothing before `start`. */
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
