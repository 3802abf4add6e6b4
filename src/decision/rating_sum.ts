/**
 * Sums of ratings. Scores are shares in [0, 1]. A sum holds the sufficient
 * statistics for means, variances and the sequential tests, so sums of several
 * VMs can be added, and the ratings of an interval are the difference of two
 * sums.
 */

/** Count, sum and sum of squares of a set of scores. */
export interface RatingSum {
  readonly count: number;
  readonly scoreSum: number;
  readonly scoreSquareSum: number;
}

export const EMPTY_SUM: RatingSum = {
  count: 0,
  scoreSum: 0,
  scoreSquareSum: 0,
};

/** Returns the sum with one more score, clamped to [0, 1]. */
export function addScore(sum: RatingSum, scoreShare: number): RatingSum {
  const score = Math.min(1, Math.max(0, scoreShare));
  return {
    count: sum.count + 1,
    scoreSum: sum.scoreSum + score,
    scoreSquareSum: sum.scoreSquareSum + score * score,
  };
}

export function addSums(a: RatingSum, b: RatingSum): RatingSum {
  return {
    count: a.count + b.count,
    scoreSum: a.scoreSum + b.scoreSum,
    scoreSquareSum: a.scoreSquareSum + b.scoreSquareSum,
  };
}

/**
 * Returns the ratings in `later` that are not in `earlier`. A smaller count
 * means that a VM restarted without its history; then all of `later` is new.
 */
export function growthOf(later: RatingSum, earlier: RatingSum): RatingSum {
  if (later.count < earlier.count) return later;
  return {
    count: later.count - earlier.count,
    scoreSum: Math.max(0, later.scoreSum - earlier.scoreSum),
    scoreSquareSum: Math.max(0, later.scoreSquareSum - earlier.scoreSquareSum),
  };
}

/** Scales a sum down to `maxCount` ratings; mean and variance stay the same. */
export function capSum(sum: RatingSum, maxCount: number): RatingSum {
  if (sum.count <= maxCount) return sum;
  const factor = maxCount / sum.count;
  return {
    count: maxCount,
    scoreSum: sum.scoreSum * factor,
    scoreSquareSum: sum.scoreSquareSum * factor,
  };
}

/** Mean score; 0 without ratings. */
export function meanOf(sum: RatingSum): number {
  return sum.count === 0 ? 0 : sum.scoreSum / sum.count;
}

/** Variance of the scores; 0 without ratings. */
export function varianceOf(sum: RatingSum): number {
  if (sum.count === 0) return 0;
  const mean = meanOf(sum);
  return Math.max(0, sum.scoreSquareSum / sum.count - mean * mean);
}
