/**
 * Request counts of one open window, by workspace and class. Answers are also
 * counted by version, so that those of a version found bad can be reclassified.
 */
import {
  type RequestClass,
  ROOT_PATH,
  type SettingsPath,
  type VersionName,
} from "../model/mod.ts";
import {
  type BurnCounts,
  type BurnOutcome,
  type BurnWindow,
  NO_COUNTS,
} from "./burn_window.ts";

/** Further series are counted together under the root path. */
export const MAX_SERIES = 1024;
const MAX_VERSIONS = 16;

/** Outcome of one request. */
export interface BurnObservation {
  readonly workspace: SettingsPath;
  readonly requestClass: RequestClass;
  readonly outcome: BurnOutcome;
  /** Version that answered; `undefined` without an answer. */
  readonly version: VersionName | undefined;
}

interface Series {
  readonly workspace: SettingsPath;
  readonly requestClass: RequestClass;
  counts: BurnCounts;
  readonly byVersion: Map<VersionName, { good: number; late: number }>;
}

/** Request counts of one open window. */
export class BurnSeries {
  readonly startMs: number;
  readonly #series = new Map<string, Series>();

  constructor(startMs: number) {
    this.startMs = startMs;
  }

  countRequest(observation: BurnObservation): void {
    const series = this.#seriesOf(observation);
    const { outcome, version } = observation;
    series.counts = {
      ...series.counts,
      [outcome]: series.counts[outcome] + 1,
    };
    if (version === undefined) return;
    if (outcome !== "good" && outcome !== "late") return;
    const answers = series.byVersion.get(version) ?? { good: 0, late: 0 };
    answers[outcome] += 1;
    if (series.byVersion.size < MAX_VERSIONS) {
      series.byVersion.set(version, answers);
    }
  }

  /** Moves the answers of a version to the `badVersion` count. */
  markBad(version: VersionName): void {
    for (const series of this.#series.values()) {
      const answers = series.byVersion.get(version);
      if (answers === undefined) continue;
      series.byVersion.delete(version);
      const { counts } = series;
      series.counts = {
        ...counts,
        good: counts.good - answers.good,
        late: counts.late - answers.late,
        badVersion: counts.badVersion + answers.good + answers.late,
      };
    }
  }

  /**
   * Returns a window for each series and, if the root has none, an empty one for
   * the root, which records that the VM was running.
   */
  windows(vm: string, windowMs: number): BurnWindow[] {
    const span = { vm, windowStartMs: this.startMs, windowMs };
    const windows: BurnWindow[] = [];
    for (const { workspace, requestClass, counts } of this.#series.values()) {
      windows.push({ ...span, workspace, requestClass, ...counts });
    }
    if (this.#series.has(keyOf(ROOT_PATH, "lookup"))) return windows;
    const rootKey = { workspace: ROOT_PATH, requestClass: "lookup" } as const;
    return [...windows, { ...span, ...rootKey, ...NO_COUNTS }];
  }

  #seriesOf({ workspace, requestClass }: BurnObservation): Series {
    const key = keyOf(workspace, requestClass);
    const existing = this.#series.get(key);
    if (existing !== undefined) return existing;
    const isFull = this.#series.size >= MAX_SERIES;
    const path = isFull ? ROOT_PATH : workspace;
    const shared = this.#series.get(keyOf(path, requestClass));
    if (shared !== undefined) return shared;
    const series: Series = {
      workspace: path,
      requestClass,
      counts: NO_COUNTS,
      byVersion: new Map(),
    };
    this.#series.set(keyOf(path, requestClass), series);
    return series;
  }
}

function keyOf(workspace: SettingsPath, requestClass: RequestClass): string {
  return `${workspace} ${requestClass}`;
}
