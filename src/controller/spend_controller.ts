/**
 * Publishes the billed total of each workspace, so that entries, which read no
 * bills, can compute its rate of spending. Every VM runs this controller; each
 * waits for a random time after the newest record, so that usually only one
 * appends the next. Concurrent records are harmless, since the one with the
 * greatest bill count is used.
 */
import { randomUUID } from "node:crypto";
import { type Clock, type Random, type SettingsPath } from "../model/mod.ts";
import { type LogJournal } from "../client/mod.ts";
import { type Controller, type ControllerContext } from "./controller_set.ts";

/** Options of the spend controller. */
export interface SpendControllerOptions {
  readonly journal: Pick<LogJournal, "append" | "billedTotals" | "control">;
  readonly clock: Clock;
  readonly random: Random;
  readonly periodMs: number;
  readonly appendTimeoutMs: number;
}

/** Minimum delay until the next record; the maximum is twice as long. */
const MIN_PUBLISH_INTERVAL_MS = 10_000;

interface ScheduledPublish {
  readonly billCount: number;
  readonly dueAtMs: number;
}

/** Creates the spend controller. */
export function createSpendController(
  options: SpendControllerOptions,
): Controller {
  const schedule = new Map<SettingsPath, ScheduledPublish>();
  return {
    name: "spend",
    periodMs: options.periodMs,
    run: (context) => publishDue({ options, schedule, context }),
  };
}

interface SpendRun {
  readonly options: SpendControllerOptions;
  readonly schedule: Map<SettingsPath, ScheduledPublish>;
  readonly context: ControllerContext;
}

async function publishDue(run: SpendRun): Promise<void> {
  const { journal } = run.options;
  for (const [workspace, total] of journal.billedTotals()) {
    const publishedCount = journal.control().spends.get(workspace)?.billCount ??
      0;
    if (total.billCount <= publishedCount) continue;
    if (!isDue(run, workspace, publishedCount)) continue;
    if (run.context.signal.aborted) return;
    await journal.append(
      { id: randomUUID(), kind: "spend", workspace, ...total },
      "",
      { timeoutMs: run.options.appendTimeoutMs },
    );
  }
}

function isDue(
  { options, schedule }: SpendRun,
  workspace: SettingsPath,
  billCount: number,
): boolean {
  const nowMs = options.clock();
  const scheduled = schedule.get(workspace);
  if (scheduled?.billCount === billCount) return nowMs >= scheduled.dueAtMs;
  const waitMs = MIN_PUBLISH_INTERVAL_MS * (1 + options.random());
  schedule.set(workspace, { billCount, dueAtMs: nowMs + waitMs });
  return false;
}
