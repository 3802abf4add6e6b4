/** Serves an entry VM's request counts and appends them to the log. */
import { type AdminRoute } from "../filter/mod.ts";
import { depthOf, type SettingsPath } from "../model/mod.ts";
import { type Journal } from "../client/mod.ts";
import { CONTROL_LIMITS, type ControlState } from "../state/mod.ts";
import { type BurnCounter } from "./burn_counter.ts";
import { type BurnHistory } from "./burn_window.ts";

const WORKSPACE_DEPTH = 2;
const MAX_RECORDS_PER_RUN = 64;

export interface BurnSource {
  readonly counter: BurnCounter;
  readonly journal: Journal;
}

/** Returns the routes `/v1/admin/burn` and `/v1/admin/burn/records`. */
export function burnRoutes({ counter, journal }: BurnSource): AdminRoute[] {
  return [
    {
      method: "GET",
      path: "/burn",
      handle: () => Promise.resolve(counter.snapshot()),
    },
    {
      method: "GET",
      path: "/burn/records",
      handle: () => Promise.resolve(historyOf(journal.control())),
    },
  ];
}

/**
 * Appends records that the log has not confirmed, at most
 * {@link MAX_RECORDS_PER_RUN} per call.
 */
export async function recordBurn(
  { counter, journal }: BurnSource,
  options: { readonly timeoutMs: number },
): Promise<void> {
  counter.roll();
  const records = counter.records(MAX_RECORDS_PER_RUN);
  await Promise.all(records.map(async (record) => {
    const appended = await journal.append(record, record.vm, options);
    if (appended.isOk()) counter.confirm(record.id);
  }));
}

function historyOf(control: ControlState): BurnHistory {
  const records = [...control.burn.values()].map(
    ({ id: _id, kind: _kind, ...window }) => window,
  );
  return {
    records,
    isFull: records.length >= CONTROL_LIMITS.burn,
    objectives: objectivesOf(control),
  };
}

function objectivesOf(control: ControlState): BurnHistory["objectives"] {
  const workspaces = new Set<SettingsPath>();
  for (const path of control.tree.paths()) {
    if (depthOf(path) === WORKSPACE_DEPTH) workspaces.add(path);
  }
  for (const { workspace } of control.burn.values()) {
    if (depthOf(workspace) === WORKSPACE_DEPTH) workspaces.add(workspace);
  }
  return [...workspaces].flatMap((workspace) =>
    control.tree.resolve(workspace).values.objectives.map((objective) => ({
      workspace,
      objective,
    }))
  );
}
