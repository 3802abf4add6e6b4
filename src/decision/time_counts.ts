/**
 * Counts of times by half octave, for versions of which only some answers are
 * slow: these hardly move a mean, but the share of answers beyond the times of
 * the other versions tells them apart.
 */
import { logLikelihoodRatio } from "./log_likelihood.ts";

/** Counts by half octave of milliseconds; missing ones at the end are 0. */
export type TimeCounts = readonly number[];

/** Counts by group of requests that take equally long, such as a route. */
export type GroupedTimeCounts = Readonly<Record<string, TimeCounts>>;

/** What the slow answers of a version say against it. */
export interface SlowEvidence {
  /** Log likelihood ratio of a bad version against one like the others. */
  readonly evidence: number;
  readonly slowCount: number;
  readonly count: number;
}

/** Counts of times of this length and above are one. */
export const MAX_TIME_BUCKETS = 28;
const BUCKETS_PER_OCTAVE = 2;
/** A lower time never counts as slow. */
const MIN_SLOW_MS = 80;
/** Half octaves above the others' median from which answers may be slow. */
const SLOW_OFFSETS = [4, 5, 6, 7] as const;
/** Answers of the other versions from which their median is known. */
const MIN_OTHER_COUNT = 10;
/** Share of slow answers of a bad version. */
const BAD_SHARE = 0.3;
/** Highest share of slow answers that is assumed for the other versions. */
const MAX_OTHERS_SHARE = 0.15;
/** Lower bound and factor of the share assumed for the other versions. */
const MIN_OTHERS_SHARE = 0.02;
const OTHERS_FACTOR = 1.5;

const MIN_SLOW_BUCKET = bucketOf(MIN_SLOW_MS) + 1;

const NO_EVIDENCE: SlowEvidence = { evidence: 0, slowCount: 0, count: 0 };

/** Returns the counts of one time. */
export function timeCountsOf(ms: number): TimeCounts {
  const counts = Array<number>(bucketOf(ms) + 1).fill(0);
  counts[counts.length - 1] = 1;
  return counts;
}

/** Returns the sum of both, or the difference with a sign of -1. */
export function combineTimeCounts(
  a: GroupedTimeCounts,
  b: GroupedTimeCounts,
  sign: 1 | -1,
): GroupedTimeCounts {
  const result: Record<string, TimeCounts> = { ...a };
  for (const [group, counts] of Object.entries(b)) {
    const sum = [...result[group] ?? []];
    for (let bucket = 0; bucket < counts.length; bucket++) {
      sum[bucket] = (sum[bucket] ?? 0) + sign * (counts[bucket] ?? 0);
    }
    result[group] = sum;
  }
  return result;
}

/** Adds the groups to sums in place. */
export function addTimeCounts(
  sums: Record<string, number[]>,
  added: GroupedTimeCounts,
): void {
  for (const [group, counts] of Object.entries(added)) {
    const sum = sums[group] ??= [];
    for (let bucket = 0; bucket < counts.length; bucket++) {
      const count = counts[bucket] ?? 0;
      if (bucket < sum.length) sum[bucket] = (sum[bucket] ?? 0) + count;
      else sum.push(count);
    }
  }
}

/**
 * Returns the strongest evidence that a share of the answers is slow, over the
 * groups that both have. What is slow in a group follows from its median.
 */
export function slowEvidence(
  target: GroupedTimeCounts,
  others: GroupedTimeCounts,
): SlowEvidence {
  const sumsByOffset = SLOW_OFFSETS.map(() => ({
    slowCount: 0,
    count: 0,
    otherSlowCount: 0,
    otherCount: 0,
  }));
  for (const [group, counts] of Object.entries(target)) {
    const otherCounts = others[group] ?? [];
    const otherCount = totalFrom(otherCounts, 0);
    if (otherCount < MIN_OTHER_COUNT) continue;
    const count = totalFrom(counts, 0);
    const median = medianBucket(otherCounts, otherCount);
    for (const [index, sums] of sumsByOffset.entries()) {
      const offset = SLOW_OFFSETS[index] ?? 0;
      const from = Math.max(MIN_SLOW_BUCKET, median + offset);
      sums.slowCount += totalFrom(counts, from);
      sums.count += count;
      sums.otherSlowCount += totalFrom(otherCounts, from);
      sums.otherCount += otherCount;
    }
  }
  let strongest = NO_EVIDENCE;
  for (const sums of sumsByOffset) {
    const { slowCount, count } = sums;
    const evidence = logLikelihoodRatio({ hitCount: slowCount, count }, {
      share: BAD_SHARE,
      otherShare: othersShare(sums),
    });
    if (evidence > strongest.evidence) {
      strongest = { evidence, slowCount, count };
    }
  }
  return strongest;
}

/** One answer more counts as slow, as a few answers may all be fast by chance. */
function othersShare(
  { otherSlowCount, otherCount }: {
    readonly otherSlowCount: number;
    readonly otherCount: number;
  },
): number {
  return Math.min(
    MAX_OTHERS_SHARE,
    MIN_OTHERS_SHARE + OTHERS_FACTOR * (otherSlowCount + 1) / (otherCount + 1),
  );
}

function bucketOf(ms: number): number {
  const bucket = Math.floor(BUCKETS_PER_OCTAVE * Math.log2(Math.max(1, ms)));
  return Math.min(MAX_TIME_BUCKETS - 1, bucket);
}

function medianBucket(counts: TimeCounts, total: number): number {
  const half = total / 2;
  let sum = 0;
  for (let bucket = 0; bucket < counts.length; bucket++) {
    sum += counts[bucket] ?? 0;
    if (sum >= half) return bucket;
  }
  return 0;
}

/** The times of a bucket and all later ones. */
function totalFrom(counts: TimeCounts, from: number): number {
  let sum = 0;
  for (let bucket = from; bucket < counts.length; bucket++) {
    sum += counts[bucket] ?? 0;
  }
  return sum;
}
