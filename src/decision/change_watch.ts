/**
 * Detects a change for the worse in the version of a roll-out. Good ratings
 * before the change dilute the evidence since the start of the step, so further
 * windows open as ratings arrive. The weights of the windows sum to at most 1,
 * so the weighted sum of their evidence has the error rate of a single window.
 * The first window starts at the step's record; a restarted process loses the
 * later windows and opens new ones.
 */
import {
  REQUEST_CLASSES,
  type RequestClass,
  type VersionName,
} from "../model/mod.ts";
import { type Position, type RolloutProgress } from "../state/mod.ts";
import { type ClassComparison, overallLossEvidence } from "./evidence.ts";
import { type QualityTable } from "./quality.ts";
import { EMPTY_SUM, growthOf, type RatingSum } from "./rating_sum.ts";

/** Number of ratings after which another window opens. */
export const WINDOW_RATINGS = 25;
/** Maximum number of windows; beyond it the oldest but the first is dropped. */
export const MAX_WINDOWS = 24;
/** Divisor that makes the weights 1 / (n ln² n), n from 2, sum to 1. */
const WEIGHT_SUM = 2.11;

/** Total ratings of each class at one point in time. */
export type ClassSums = Readonly<Record<RequestClass, RatingSum>>;

interface Window {
  readonly start: ClassSums;
  readonly weight: number;
}

/** Windows of one version since the newest step of its roll-out. */
export interface ChangeWatch {
  readonly stepPosition: Position;
  readonly windows: readonly Window[];
  readonly openedCount: number;
  /** Number of the version's ratings when the newest window opened. */
  readonly openedAtRatings: number;
}

/** Totals of a version's ratings by class. */
export function classSumsOf(
  quality: QualityTable,
  version: VersionName,
): ClassSums {
  return sumsByClass((requestClass) =>
    quality.totalSumOf(version, requestClass)
  );
}

/** Totals in the step's record. */
export function stepSumsOf(progress: RolloutProgress): ClassSums {
  return sumsByClass((requestClass) => {
    const found = progress.step.ratings?.find((item) =>
      item.requestClass === requestClass
    );
    return found ?? EMPTY_SUM;
  });
}

/** Returns the watch after new ratings; a new step starts a new watch. */
export function updateWatch(
  watch: ChangeWatch | undefined,
  options: {
    readonly progress: RolloutProgress;
    readonly quality: QualityTable;
  },
): ChangeWatch {
  const { progress, quality } = options;
  const now = classSumsOf(quality, progress.step.version);
  const current = watch?.stepPosition === progress.position
    ? watch
    : startWatch(progress);
  const ratingCount = countOf(now);
  if (ratingCount - current.openedAtRatings < WINDOW_RATINGS) return current;
  const openedCount = current.openedCount + 1;
  const window: Window = { start: now, weight: weightOf(openedCount) };
  const [first, ...later] = current.windows;
  const retained = later.slice(-(MAX_WINDOWS - 2));
  return {
    ...current,
    windows: first === undefined ? [window] : [first, ...retained, window],
    openedCount,
    openedAtRatings: ratingCount,
  };
}

/** Inputs of the comparison with the baseline. */
export interface WatchComparison {
  readonly version: VersionName;
  readonly quality: QualityTable;
  readonly baselineOf: (requestClass: RequestClass) => RatingSum;
  readonly toleratedLossShare: number;
}

/** Weighted sum of all windows' evidence that the version is now worse. */
export function changeEvidence(
  watch: ChangeWatch,
  options: WatchComparison,
): number {
  const now = classSumsOf(options.quality, options.version);
  let evidence = 0;
  for (const { start, weight } of watch.windows) {
    const comparisons = comparisonsSince(now, start, options.baselineOf);
    evidence += weight *
      overallLossEvidence(comparisons, options.toleratedLossShare);
  }
  return evidence;
}

/** Compares each class that has ratings since `start` with the baseline. */
export function comparisonsSince(
  now: ClassSums,
  start: ClassSums,
  baselineOf: (requestClass: RequestClass) => RatingSum,
): ClassComparison[] {
  const comparisons: ClassComparison[] = [];
  for (const requestClass of REQUEST_CLASSES) {
    const version = growthOf(now[requestClass], start[requestClass]);
    if (version.count === 0) continue;
    comparisons.push({ version, baseline: baselineOf(requestClass) });
  }
  return comparisons;
}

/** Number of ratings in all classes. */
export function countOf(sums: ClassSums): number {
  let count = 0;
  for (const requestClass of REQUEST_CLASSES) {
    count += sums[requestClass].count;
  }
  return count;
}

function startWatch(progress: RolloutProgress): ChangeWatch {
  const start = stepSumsOf(progress);
  return {
    stepPosition: progress.position,
    windows: [{ start, weight: weightOf(1) }],
    openedCount: 1,
    openedAtRatings: countOf(start),
  };
}

function weightOf(nth: number): number {
  const n = nth + 1;
  return 1 / (WEIGHT_SUM * n * Math.log(n) ** 2);
}

function sumsByClass(
  sumOf: (requestClass: RequestClass) => RatingSum,
): ClassSums {
  return Object.fromEntries(
    REQUEST_CLASSES.map((name) => [name, sumOf(name)]),
  ) as ClassSums;
}
