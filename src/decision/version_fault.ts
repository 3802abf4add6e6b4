/**
 * Why the target version of a roll-out is worse than the other versions: its
 * failures are far more likely at the failure rate of a bad version than at the
 * rate of the others, its answers or a large share of them begin several times
 * later, or the parts of its answers come several times slower.
 */
import { logLikelihoodRatio } from "./log_likelihood.ts";
import { compareLogSums, EMPTY_LOG_SUMS, type LogSums } from "./log_sums.ts";
import { type GroupedTimeCounts, slowEvidence } from "./time_counts.ts";
import {
  type RouteTallies,
  type RouteTally,
  totalOf,
  type VersionTally,
} from "./version_tally.ts";

/** Failure share of a bad version. */
const BAD_SHARE = 0.3;
/** Lower bound of the failure share assumed for the other versions. */
const MIN_OTHERS_SHARE = 0.02;
/** Factor on the observed failure share of the other versions. */
const OTHERS_FACTOR = 1.5;
const MIN_ERRORS = 3;
/** Threshold of the log likelihood ratio for a bad version. */
const MIN_EVIDENCE = 5;
/** The same for slow answers, of which several lengths are tried. */
const MIN_SLOW_EVIDENCE = 6;
const MIN_SLOW_ANSWERS = 4;
/** Standard deviation of the logarithm of times of one group, at least. */
const MIN_SCATTER = 0.4;
/** Ratio of times to the first byte from which the target counts as slow. */
const SLOW_FACTOR = 3.5;
/** Standard errors by which the difference has to differ from 0. */
const SLOW_ERRORS = 4;
/** Requests needed on each side to compare times. */
const MIN_SLOW_COUNT = 6;
/** A lower geometric mean time never counts as slow. */
const MIN_SLOW_MS = 150;
/** The same for the pauses between parts, which scatter less. */
const SLOW_PACE_FACTOR = 2;
const SLOW_PACE_ERRORS = 3.5;
const MIN_PACE_COUNT = 4;

const EMPTY_ROUTE: RouteTally = { ...EMPTY_LOG_SUMS, errorCount: 0 };

/** Returns why the target is worse than the other versions, if it is. */
export function targetFault(tally: VersionTally): string | undefined {
  return timeFault(tally) ?? slowFault(tally) ?? errorFault(tally) ??
    paceFault(tally);
}

function timeFault({ target, others }: VersionTally): string | undefined {
  const groups: [string, RouteTallies][] = Object.entries(target).map((
    [route, tally],
  ) => [route, { [route]: tally }]);
  groups.push(["all routes", target]);
  for (const [name, routes] of groups) {
    if (meanOf(totalOf(routes)) < Math.log(MIN_SLOW_MS)) continue;
    const compared = compareLogSums(routes, others, {
      minScatter: MIN_SCATTER,
    });
    if (compared === undefined) continue;
    const { count, otherCount, difference, standardError } = compared;
    if (Math.min(count, otherCount) < MIN_SLOW_COUNT) continue;
    if (difference < Math.log(SLOW_FACTOR)) continue;
    if (difference < SLOW_ERRORS * standardError) continue;
    return `${name}: ${count} answers several times slower`;
  }
  return undefined;
}

function slowFault(
  { targetTimes, otherTimes }: VersionTally,
): string | undefined {
  const groups: [string, GroupedTimeCounts][] = Object.entries(targetTimes)
    .map(([route, counts]) => [route, { [route]: counts }]);
  groups.push(["all routes", targetTimes]);
  for (const [name, times] of groups) {
    const { evidence, slowCount, count } = slowEvidence(times, otherTimes);
    if (evidence < MIN_SLOW_EVIDENCE || slowCount < MIN_SLOW_ANSWERS) continue;
    return `${name}: ${slowCount} of ${count} answers slow`;
  }
  return undefined;
}

function paceFault(
  { targetPaces, otherPaces, pacedIds }: VersionTally,
): string | undefined {
  // One slow server is a fault of the server, not the version.
  if (pacedIds.length < 2) return undefined;
  const compared = compareLogSums(targetPaces, otherPaces, {
    minScatter: MIN_SCATTER,
  });
  if (compared === undefined) return undefined;
  const { count, otherCount, difference, standardError } = compared;
  if (Math.min(count, otherCount) < MIN_PACE_COUNT) return undefined;
  if (difference < Math.log(SLOW_PACE_FACTOR)) return undefined;
  if (difference < SLOW_PACE_ERRORS * standardError) return undefined;
  return `the parts of ${count} answers came several times slower`;
}

function errorFault(
  { target, others, failingIds }: VersionTally,
): string | undefined {
  // Failures of a single server are a fault of the server, not the version.
  if (failingIds.length < 2) return undefined;
  const groups: [string, RouteTally, RouteTally][] = Object.entries(target)
    .map(([route, tally]) => [route, tally, others[route] ?? EMPTY_ROUTE]);
  groups.push(["all routes", totalOf(target), totalOf(others)]);
  for (const [name, targetTally, othersTally] of groups) {
    if (errorEvidence(targetTally, othersTally) < MIN_EVIDENCE) continue;
    return `${name}: ${targetTally.errorCount} of ${targetTally.count} failed`;
  }
  return undefined;
}

function errorEvidence(target: RouteTally, others: RouteTally): number {
  if (target.errorCount < MIN_ERRORS) return 0;
  const othersShare = Math.min(
    BAD_SHARE / 2,
    MIN_OTHERS_SHARE +
      OTHERS_FACTOR * others.errorCount / Math.max(1, others.count),
  );
  const { count, errorCount: hitCount } = target;
  return logLikelihoodRatio({ hitCount, count }, {
    share: BAD_SHARE,
    otherShare: othersShare,
  });
}

function meanOf({ count, logSum }: LogSums): number {
  return count === 0 ? 0 : logSum / count;
}
