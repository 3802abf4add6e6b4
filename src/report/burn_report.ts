/**
 * Computes the service-level burn report: burn rate, remaining error budget and
 * main cause for each workspace, request class and window. Windows with missing
 * counts are marked as incomplete.
 */
import {
  type Objective,
  type RequestClass,
  type SettingsPath,
} from "../model/mod.ts";
import {
  type MissingSpan,
  missingSpans,
  type UnreachableVm,
} from "./burn_coverage.ts";
import {
  addCounts,
  BURN_CAUSES,
  type BurnCause,
  type BurnCounts,
  type BurnHistory,
  type BurnWindow,
  LIVE_WINDOW_MS,
  NO_COUNTS,
  RECORD_WINDOW_MS,
  totalOf,
  type VmBurn,
} from "./burn_window.ts";

/** The windows of the report, shortest first. */
export const REPORT_WINDOWS = [
  { name: "5 min", windowMs: 300_000 },
  { name: "1 h", windowMs: 3_600_000 },
  { name: "6 h", windowMs: 21_600_000 },
  { name: "3 d", windowMs: 259_200_000 },
] as const;

/** Collected counts, the input of the report. */
export interface BurnInput {
  readonly nowMs: number;
  readonly live: readonly VmBurn[];
  readonly history: BurnHistory | undefined;
  readonly silent: readonly UnreachableVm[];
}

/** One window of one workspace and class. */
export interface BurnCell {
  readonly window: string;
  readonly counts: BurnCounts;
  /** Requests that met the objective; `null` without requests. */
  readonly goodShare: number | null;
  /**
   * Ratio of the bad share to the error budget: 1 spends the budget exactly.
   * `null` without requests or objective.
   */
  readonly burnRate: number | null;
  /** Remaining share of this window's budget; negative when overspent. */
  readonly budgetLeftShare: number | null;
  /** Most frequent cause; `null` without bad requests. */
  readonly cause: BurnCause | null;
}

/** One workspace and class. */
export interface BurnRow {
  readonly workspace: SettingsPath;
  readonly requestClass: RequestClass;
  readonly targetShare: number | null;
  readonly cells: readonly BurnCell[];
}

/** Completeness of the counts of one report window. */
export interface WindowCoverage {
  readonly window: string;
  readonly isComplete: boolean;
  readonly missing: readonly MissingSpan[];
}

export interface BurnReport {
  readonly nowMs: number;
  readonly vms: readonly string[];
  readonly silent: readonly UnreachableVm[];
  readonly coverage: readonly WindowCoverage[];
  readonly rows: readonly BurnRow[];
}

export function burnReportOf(input: BurnInput): BurnReport {
  const spans = missingSpans(input);
  return {
    nowMs: input.nowMs,
    vms: input.live.map(({ vm }) => vm).sort(),
    silent: input.silent,
    coverage: REPORT_WINDOWS.map(({ name, windowMs }) => {
      const missing = spans.filter(({ toMs }) => toMs > input.nowMs - windowMs);
      return { window: name, isComplete: missing.length === 0, missing };
    }),
    rows: rowsOf(input),
  };
}

interface RowKey {
  readonly workspace: SettingsPath;
  readonly requestClass: RequestClass;
}

function rowsOf(input: BurnInput): BurnRow[] {
  const sums = REPORT_WINDOWS.map(({ windowMs }) =>
    sumBySeries(windowsWithin(input, windowMs))
  );
  const keys = new Map<string, RowKey>();
  for (const { workspace, objective } of input.history?.objectives ?? []) {
    const key = { workspace, requestClass: objective.requestClass };
    keys.set(seriesKey(key), key);
  }
  for (const sum of sums) {
    for (const [name, { key }] of sum) keys.set(name, key);
  }
  const sorted = [...keys].sort(([a], [b]) => (a < b ? -1 : 1));
  return sorted.map(([name, key]) => {
    const objective = objectiveOf(input, key);
    const cells = REPORT_WINDOWS.map((window, index) =>
      cellOf(window.name, {
        counts: sums[index]?.get(name)?.counts ?? NO_COUNTS,
        objective,
      })
    );
    return { ...key, targetShare: objective?.targetShare ?? null, cells };
  });
}

function cellOf(
  window: string,
  input: {
    readonly counts: BurnCounts;
    readonly objective: Objective | undefined;
  },
): BurnCell {
  const { counts, objective } = input;
  const total = totalOf(counts);
  const goodShare = total === 0 ? null : counts.good / total;
  const burnRate = goodShare === null || objective === undefined
    ? null
    : (1 - goodShare) / (1 - objective.targetShare);
  return {
    window,
    counts,
    goodShare,
    burnRate,
    budgetLeftShare: burnRate === null ? null : 1 - burnRate,
    cause: mainCause(counts),
  };
}

function mainCause(counts: BurnCounts): BurnCause | null {
  let main: BurnCause | null = null;
  for (const cause of BURN_CAUSES) {
    if (counts[cause] > (main === null ? 0 : counts[main])) main = cause;
  }
  return main;
}

/** Returns windows that cover the span and contain each request only once. */
function windowsWithin(input: BurnInput, windowMs: number): BurnWindow[] {
  const sinceMs = input.nowMs - windowMs;
  return windowMs <= RECORD_WINDOW_MS
    ? shortWindows(input, sinceMs)
    : longWindows(input, sinceMs);
}

function shortWindows(input: BurnInput, sinceMs: number): BurnWindow[] {
  const startedAt = new Map(
    input.live.map(({ vm, startedAtMs }) => [vm, startedAtMs]),
  );
  const recent = input.live.flatMap((burn) => burn.recent).filter((window) =>
    window.windowStartMs >= sinceMs - LIVE_WINDOW_MS && endOf(window) > sinceMs
  );
  const fromEndedProcesses = (input.history?.records ?? []).filter((record) => {
    const processStartMs = startedAt.get(record.vm);
    const isOfRunningProcess = processStartMs !== undefined &&
      record.windowStartMs >= processStartMs;
    return !isOfRunningProcess && record.windowStartMs >= sinceMs;
  });
  return [...recent, ...fromEndedProcesses];
}

function longWindows(input: BurnInput, sinceMs: number): BurnWindow[] {
  const byKey = new Map<string, BurnWindow>();
  const unrecorded = input.live.flatMap((burn) => burn.unrecorded);
  for (const window of [...unrecorded, ...(input.history?.records ?? [])]) {
    if (endOf(window) <= sinceMs) continue;
    const key = `${window.vm} ${seriesKey(window)} ${window.windowStartMs}`;
    const prior = byKey.get(key);
    if (prior !== undefined && prior.windowMs >= window.windowMs) continue;
    byKey.set(key, window);
  }
  return [...byKey.values()];
}

interface SeriesSum {
  readonly key: RowKey;
  readonly counts: BurnCounts;
}

function sumBySeries(windows: readonly BurnWindow[]): Map<string, SeriesSum> {
  const sums = new Map<string, SeriesSum>();
  for (const window of windows) {
    if (totalOf(window) === 0) continue;
    const { workspace, requestClass } = window;
    const key = { workspace, requestClass };
    const counts = sums.get(seriesKey(key))?.counts ?? NO_COUNTS;
    sums.set(seriesKey(key), { key, counts: addCounts(counts, window) });
  }
  return sums;
}

function objectiveOf(input: BurnInput, key: RowKey): Objective | undefined {
  return input.history?.objectives.find(({ workspace, objective }) =>
    workspace === key.workspace && objective.requestClass === key.requestClass
  )?.objective;
}

function seriesKey({ workspace, requestClass }: RowKey): string {
  return `${workspace} ${requestClass}`;
}

function endOf(window: BurnWindow): number {
  return window.windowStartMs + window.windowMs;
}
