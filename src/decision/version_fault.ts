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
  type ErrorTally,
  type RouteTallies,
  type RouteTally,
  tallySince,
  totalOf,
  type VersionTally,
} from "./version_tally.ts";

/** Failure share of a bad version. */
const BAD_SHARE = 0.3;
/** Lower bound of the failure share assumed for the other versions. */
const MIN_OTHERS_SHARE = 0.02;
/** Factor on the observed failure share of the other versions. */
const OTHERS_FACTOR = 1.5;
/** What shows a fault. */
interface Thresholds {
  /** The log likelihood ratio for a bad version. */
  readonly evidence: number;
  /** The same for slow answers, of which several lengths are tried. */
  readonly slowEvidence: number;
  readonly errorCount: number;
  readonly slowCount: number;
  /** Failures of fewer servers are theirs, not the version's. */
  readonly failingCount: number;
}

const FAULT: Thresholds = {
  evidence: 5,
  slowEvidence: 6,
  errorCount: 3,
  slowCount: 4,
  failingCount: 2,
};
/** What keeps a version from all requests when that has to be decided. */
const DOUBT: Thresholds = {
  // With 1.5, where two failures of ten are enough, 23 of 2000 good versions
  // were reverted in played roll-outs, with 1.75 18.
  evidence: 1.75,
  slowEvidence: 2,
  errorCount: 2,
  slowCount: 3,
  failingCount: 1,
};
/**
 * The same for requests since the load trial began. A version that fails under
 * load fails a smaller share of them, as not each meets a busy server.
 */
const TRIAL_BAD_SHARE = 0.15;
const TRIAL_EVIDENCE = 2.5;
const TRIAL_ERROR_COUNT = 3;
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
  return timeFault(tally) ?? slowFault(tally, FAULT) ??
    errorFault(tally, FAULT) ?? paceFault(tally);
}

/** Returns why the target may be worse than the other versions, if it may. */
export function targetDoubt(tally: VersionTally): string | undefined {
  const doubt = slowFault(tally, DOUBT) ?? errorFault(tally, DOUBT);
  return doubt === undefined ? undefined : `in doubt, ${doubt}`;
}

/**
 * Returns why the target may fail under load, if it may, from the requests since
 * the load trial began. Among all requests a few failures in the trial are too
 * small a share, and servers seldom report a load that lasted 0.1 s.
 */
export function loadTrialDoubt(
  tally: VersionTally,
  atTrialBegin: VersionTally,
): string | undefined {
  const target = totalOf(tallySince(tally, atTrialBegin).target);
  if (target.errorCount < TRIAL_ERROR_COUNT) return undefined;
  const evidence = errorEvidence(target, {
    others: totalOf(tally.others),
    badShare: TRIAL_BAD_SHARE,
  });
  if (evidence < TRIAL_EVIDENCE) return undefined;
  return `in doubt, load trial: ${target.errorCount} of ${target.count} failed`;
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
  thresholds: Thresholds,
): string | undefined {
  const groups: [string, GroupedTimeCounts][] = Object.entries(targetTimes)
    .map(([route, counts]) => [route, { [route]: counts }]);
  groups.push(["all routes", targetTimes]);
  for (const [name, times] of groups) {
    const { evidence, slowCount, count } = slowEvidence(times, otherTimes);
    if (evidence < thresholds.slowEvidence) continue;
    if (slowCount < thresholds.slowCount) continue;
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
  { target, others, busyTarget, busyOthers, failingIds }: VersionTally,
  thresholds: Thresholds,
): string | undefined {
  if (failingIds.length < thresholds.failingCount) return undefined;
  const groups: [string, ErrorTally, ErrorTally][] = Object.entries(target)
    .map(([route, tally]) => [route, tally, others[route] ?? EMPTY_ROUTE]);
  groups.push(["all routes", totalOf(target), totalOf(others)]);
  groups.push(["busy servers", busyTarget, busyOthers]);
  for (const [name, targetTally, othersTally] of groups) {
    if (targetTally.errorCount < thresholds.errorCount) continue;
    const evidence = errorEvidence(targetTally, {
      others: othersTally,
      badShare: BAD_SHARE,
    });
    if (evidence < thresholds.evidence) continue;
    return `${name}: ${targetTally.errorCount} of ${targetTally.count} failed`;
  }
  return undefined;
}

function errorEvidence(
  target: ErrorTally,
  { others, badShare }: {
    readonly others: ErrorTally;
    readonly badShare: number;
  },
): number {
  const othersShare = Math.min(
    BAD_SHARE / 2,
    MIN_OTHERS_SHARE +
      OTHERS_FACTOR * others.errorCount / Math.max(1, others.count),
  );
  const { count, errorCount: hitCount } = target;
  return logLikelihoodRatio({ hitCount, count }, {
    share: badShare,
    otherShare: othersShare,
  });
}

function meanOf({ count, logSum }: LogSums): number {
  return count === 0 ? 0 : logSum / count;
}
