/**
 * The counts of one running window, by workspace and class. Answers are also
 * counted by version, so that those of a version found bad can be moved.
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

/** Series beyond this many are counted together, at the root. */
export const MAX_SERIES = 1024;
const MAX_VERSIONS = 16;

/** One request, as it counts. */
export interface BurnObservation {
  readonly workspace: SettingsPath;
  readonly requestClass: RequestClass;
  readonly outcome: BurnOutcome;
  /** The version that answered, if one did. */
  readonly version: VersionName | undefined;
}

interface Series {
  readonly workspace: SettingsPath;
  readonly requestClass: RequestClass;
  counts: BurnCounts;
  readonly byVersion: Map<VersionName, { good: number; late: number }>;
}

/** The counts of one running window. */
export class BurnSeries {
  readonly startMs: number;
  readonly #series = new Map<string, Series>();

  constructor(startMs: number) {
    this.startMs = startMs;
  }

  /** Counts one request. */
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

  /** Counts the answers of a version as bad. */
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

  /** The window of each series, and an empty one of the root. */
  windows(vm: string, windowMs: number): BurnWindow[] {
    const span = { vm, windowStartMs: this.startMs, windowMs };
    const windows: BurnWindow[] = [];
    for (const { workspace, requestClass, counts } of this.#series.values()) {
      windows.push({ ...span, workspace, requestClass, ...counts });
    }
    if (this.#series.has(keyOf(ROOT_PATH, "lookup"))) return windows;
    const presence = { workspace: ROOT_PATH, requestClass: "lookup" } as const;
    return [...windows, { ...span, ...presence, ...NO_COUNTS }];
  }

  #seriesOf({ workspace, requestClass }: BurnObservation): Series {
    const key = keyOf(workspace, requestClass);
    const found = this.#series.get(key);
    if (found !== undefined) return found;
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
