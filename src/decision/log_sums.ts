/**
 * Sums of logarithms of times, by group, and their comparison. Times of prompts
 * and models differ by factors, so their logarithms are compared, and only
 * within the same group.
 */

/** Count, sum and sum of squares of the natural logarithms of some times. */
export interface LogSums {
  readonly count: number;
  readonly logSum: number;
  readonly logSquareSum: number;
}

export type GroupedLogSums = Readonly<Record<string, LogSums>>;

/** A value that is summed up in place. */
export type Mutable<Value> = { -readonly [Key in keyof Value]: Value[Key] };

export type MutableGroups<Value> = Record<string, Mutable<Value>>;

/** How much longer one side's times are than the other's. */
export interface LogComparison {
  /** Times of the first side. */
  readonly count: number;
  readonly otherCount: number;
  /** Mean difference of the logarithms within the groups. */
  readonly difference: number;
  readonly standardError: number;
}

export const EMPTY_LOG_SUMS: LogSums = {
  count: 0,
  logSum: 0,
  logSquareSum: 0,
};

/** Returns the sums of one time, in milliseconds. */
export function logSumsOf(ms: number): LogSums {
  const log = Math.log(Math.max(1, ms));
  return { count: 1, logSum: log, logSquareSum: log ** 2 };
}

/** Returns the sum of both, or the difference with a sign of -1. */
export function combineLogSums(a: LogSums, b: LogSums, sign: 1 | -1): LogSums {
  return {
    count: a.count + sign * b.count,
    logSum: a.logSum + sign * b.logSum,
    logSquareSum: a.logSquareSum + sign * b.logSquareSum,
  };
}

/** Combines the groups of both sides. */
export function combineGroups(
  a: GroupedLogSums,
  b: GroupedLogSums,
  sign: 1 | -1,
): GroupedLogSums {
  const result: Record<string, LogSums> = { ...a };
  for (const [group, sums] of Object.entries(b)) {
    result[group] = combineLogSums(
      result[group] ?? EMPTY_LOG_SUMS,
      sums,
      sign,
    );
  }
  return result;
}

/** Adds to a sum in place. */
export function addLogSums(sum: Mutable<LogSums>, added: LogSums): void {
  sum.count += added.count;
  sum.logSum += added.logSum;
  sum.logSquareSum += added.logSquareSum;
}

/** Adds the groups to sums in place. */
export function addGroups(
  sums: MutableGroups<LogSums>,
  added: GroupedLogSums,
): void {
  for (const [group, groupSums] of Object.entries(added)) {
    addLogSums(sums[group] ??= { ...EMPTY_LOG_SUMS }, groupSums);
  }
}

/**
 * Compares two sides over the groups that both have; undefined without one.
 * The scatter is taken to be at least `minScatter`, as a few times may agree by
 * chance.
 */
export function compareLogSums(
  side: GroupedLogSums,
  other: GroupedLogSums,
  { minScatter }: { readonly minScatter: number },
): LogComparison | undefined {
  const pairs: [LogSums, LogSums][] = [];
  for (const [group, sums] of Object.entries(side)) {
    const otherSums = other[group] ?? EMPTY_LOG_SUMS;
    if (sums.count > 0 && otherSums.count > 0) pairs.push([sums, otherSums]);
  }
  if (pairs.length === 0) return undefined;
  const otherVariance = varianceOf(pairs.map(([, b]) => b), minScatter);
  const variance = varianceOf(pairs.map(([a]) => a), minScatter) ??
    otherVariance ?? minScatter ** 2;
  let weightSum = 0;
  let weightedDifference = 0;
  let weightedVariance = 0;
  let count = 0;
  let otherCount = 0;
  for (const [a, b] of pairs) {
    const weight = 1 / (1 / a.count + 1 / b.count);
    weightSum += weight;
    weightedDifference += weight * (a.logSum / a.count - b.logSum / b.count);
    weightedVariance += weight ** 2 *
      (variance / a.count + (otherVariance ?? variance) / b.count);
    count += a.count;
    otherCount += b.count;
  }
  return {
    count,
    otherCount,
    difference: weightedDifference / weightSum,
    standardError: Math.sqrt(weightedVariance) / weightSum,
  };
}

/** The variance within the groups; undefined where no group has two times. */
function varianceOf(
  groups: readonly LogSums[],
  minScatter: number,
): number | undefined {
  let squares = 0;
  let freedom = 0;
  for (const { count, logSum, logSquareSum } of groups) {
    squares += Math.max(0, logSquareSum - logSum ** 2 / count);
    freedom += count - 1;
  }
  if (freedom === 0) return undefined;
  return Math.max(minScatter ** 2, squares / freedom);
}
