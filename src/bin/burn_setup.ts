/** Sets up the request counts of an entry for the burn report. */
import { randomUUID } from "node:crypto";
import { type LogJournal } from "../client/mod.ts";
import { BurnCounter } from "../report/burn_counter.ts";
import { recordBurn } from "../report/burn_route.ts";
import { type EntryParts } from "./entry_parts.ts";
import { type PeriodicTask } from "./periodic.ts";

const BURN_PERIOD_MS = 5000;
const APPEND_TIMEOUT_MS = 3000;

/** Creates the counter of an entry. */
export function openBurnCounter(vm: string): BurnCounter {
  return new BurnCounter({ vm, wallClock: Date.now, makeId: randomUUID });
}

/** Counts the answers of bad versions as bad and appends counts to the log. */
export function burnTask(parts: EntryParts): PeriodicTask {
  return {
    name: "burn",
    periodMs: BURN_PERIOD_MS,
    run: async () => {
      markBadVersions(parts);
      await appendBurn(parts.burn, parts.journal);
    },
  };
}

/** Appends counts that the log has not confirmed. */
export async function appendBurn(
  counter: BurnCounter,
  journal: LogJournal,
): Promise<void> {
  await recordBurn({ counter, journal }, { timeoutMs: APPEND_TIMEOUT_MS });
}

function markBadVersions({ burn, selector, journal }: EntryParts): void {
  for (const { version } of selector.watch.localStops.list()) {
    burn.markBad(version);
  }
  for (const { step } of journal.control().rollouts.values()) {
    if (step.verdict === "withdraw") burn.markBad(step.version);
  }
}
