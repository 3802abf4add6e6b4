/**
 * Publishes what each workspace has been billed, so that entries, which read no
 * bills, know its rate of spending. Every VM runs it; each waits a random time
 * after the newest record, so that as a rule one of them writes. Records of two
 * at once do no harm: the greatest bill count counts.
 */
import { randomUUID } from "node:crypto";
import { type Clock, type Random, type SettingsPath } from "../model/mod.ts";
import { type LogJournal } from "../client/mod.ts";
import { type Controller, type ControllerContext } from "./controller_set.ts";

/** What the controller works with. */
export interface SpendControllerOptions {
  readonly journal: Pick<LogJournal, "append" | "billedTotals" | "control">;
  readonly clock: Clock;
  readonly random: Random;
  readonly periodMs: number;
  readonly appendTimeoutMs: number;
}

/** A record is followed by the next after one to two times this. */
const MIN_PUBLISH_INTERVAL_MS = 10_000;

interface ScheduledPublish {
  readonly billCount: number;
  readonly dueAtMs: number;
}

/** Creates the controller. */
export function createSpendController(
  options: SpendControllerOptions,
): Controller {
  const turns = new Map<SettingsPath, ScheduledPublish>();
  return {
    name: "spend",
    periodMs: options.periodMs,
    run: (context) => publishDue({ options, turns, context }),
  };
}

interface SpendRun {
  readonly options: SpendControllerOptions;
  readonly turns: Map<SettingsPath, ScheduledPublish>;
  readonly context: ControllerContext;
}

async function publishDue(run: SpendRun): Promise<void> {
  const { journal } = run.options;
  for (const [workspace, total] of journal.billedTotals()) {
    const published = journal.control().spends.get(workspace)?.billCount ?? 0;
    if (total.billCount <= published) continue;
    if (!isDue(run, workspace, published)) continue;
    if (run.context.signal.aborted) return;
    await journal.append(
      { id: randomUUID(), kind: "spend", workspace, ...total },
      "",
      { timeoutMs: run.options.appendTimeoutMs },
    );
  }
}

function isDue(
  { options, turns }: SpendRun,
  workspace: SettingsPath,
  billCount: number,
): boolean {
  const nowMs = options.clock();
  const turn = turns.get(workspace);
  if (turn?.billCount === billCount) return nowMs >= turn.dueAtMs;
  const waitMs = MIN_PUBLISH_INTERVAL_MS * (1 + options.random());
  turns.set(workspace, { billCount, dueAtMs: nowMs + waitMs });
  return false;
}
