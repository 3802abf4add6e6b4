/**
 * Watches one version of a roll-out for a change to the worse. Evidence that
 * starts at the roll-out's step is diluted by good ratings before the change,
 * so further windows open as ratings come in. Each window has a weight, the
 * weights sum to at most one, and so the weighted sum of their evidence keeps
 * the error rate of a single window. The first window starts at the step's
 * record; a process that restarts loses the later ones and opens new ones.
 */
import {
  REQUEST_CLASSES,
  type RequestClass,
  type VersionName,
} from "../model/mod.ts";
import { type Position, type RolloutProgress } from "../state/mod.ts";
import { type ClassComparison, lossEvidenceOf } from "./evidence.ts";
import { type QualityTable } from "./quality.ts";
import { EMPTY_SUM, growthOf, type RatingSum } from "./rating_sum.ts";

/** Ratings after which a further window opens. */
export const WINDOW_RATINGS = 25;
/** The most windows kept; the oldest but the first is dropped. */
export const MAX_WINDOWS = 24;
/** Makes the weights 1 / (n ln² n), n from 2, sum to one. */
const WEIGHT_SUM = 2.11;

/** Ratings of each class at one moment. */
export type ClassSums = Readonly<Record<RequestClass, RatingSum>>;

interface Window {
  readonly start: ClassSums;
  readonly weight: number;
}

/** The windows of one version since the newest step of its roll-out. */
export interface ChangeWatch {
  readonly stepPosition: Position;
  readonly windows: readonly Window[];
  readonly openedCount: number;
  /** Ratings of the version when the newest window opened. */
  readonly openedAtRatings: number;
}

/** Totals of a version's ratings by class. */
export function classSumsOf(
  quality: QualityTable,
  version: VersionName,
): ClassSums {
  return sumsBy((requestClass) => quality.totalSumOf(version, requestClass));
}

/** The ratings that the step's record carries. */
export function stepSumsOf(progress: RolloutProgress): ClassSums {
  return sumsBy((requestClass) => {
    const found = progress.step.ratings?.find((item) =>
      item.requestClass === requestClass
    );
    return found ?? EMPTY_SUM;
  });
}

/** The watch after new ratings; it starts anew at each step. */
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
  const kept = later.slice(-(MAX_WINDOWS - 2));
  return {
    ...current,
    windows: first === undefined ? [window] : [first, ...kept, window],
    openedCount,
    openedAtRatings: ratingCount,
  };
}

/** What a watch compares the version's ratings with. */
export interface WatchComparison {
  readonly version: VersionName;
  readonly quality: QualityTable;
  readonly baselineOf: (requestClass: RequestClass) => RatingSum;
  readonly toleratedLossShare: number;
}

/** Weighted evidence of all windows that the version has turned bad. */
export function changeEvidence(
  watch: ChangeWatch,
  options: WatchComparison,
): number {
  const now = classSumsOf(options.quality, options.version);
  let evidence = 0;
  for (const { start, weight } of watch.windows) {
    const comparisons = comparisonsSince(now, start, options.baselineOf);
    evidence += weight *
      lossEvidenceOf(comparisons, options.toleratedLossShare);
  }
  return evidence;
}

/** The classes rated since a moment, each beside the baseline's ratings. */
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

/** The number of ratings in all classes. */
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

function sumsBy(sumOf: (requestClass: RequestClass) => RatingSum): ClassSums {
  return Object.fromEntries(
    REQUEST_CLASSES.map((name) => [name, sumOf(name)]),
  ) as ClassSums;
}
