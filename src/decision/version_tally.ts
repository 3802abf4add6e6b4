/**
 * Failures and times to the first byte of the target version of a roll-out and
 * of the other versions of its service, by route. The target is worse if its
 * failures are far more likely at the failure rate of a bad version than at the
 * rate of the other versions, if its answers begin several times later, or if
 * the parts of its answers come several times slower.
 */
import {
  combineGroups,
  combineLogSums,
  compareLogSums,
  EMPTY_LOG_SUMS,
  type GroupedLogSums,
  type LogSums,
  logSumsOf,
} from "./log_sums.ts";

/** Request counts of one route, and the times to the first byte. */
export interface RouteTally extends LogSums {
  readonly errorCount: number;
}

export type RouteTallies = Readonly<Record<string, RouteTally>>;

/** Tallies of one roll-out, of one VM or merged from several. */
export interface VersionTally {
  readonly target: RouteTallies;
  readonly others: RouteTallies;
  /** Some of the target's servers that failed requests. */
  readonly failingIds: readonly string[];
  /** Pauses between the parts of an answer, by model. */
  readonly targetPaces: GroupedLogSums;
  readonly otherPaces: GroupedLogSums;
  /** Some of the target's servers whose pace is known. */
  readonly pacedIds: readonly string[];
}

/** Outcome of one request. */
export interface TallySample {
  readonly route: string;
  readonly isTarget: boolean;
  readonly isError: boolean;
  readonly firstByteMs: number;
  readonly backendId: string;
}

/** The pace of one answer. */
export interface PaceSample {
  readonly model: string;
  readonly isTarget: boolean;
  /** The median pause between two parts. */
  readonly pauseMs: number;
  /** Requests that ran at the server when it began the answer. */
  readonly runningCount: number;
  readonly backendId: string;
}

export const EMPTY_TALLY: VersionTally = {
  target: {},
  others: {},
  failingIds: [],
  targetPaces: {},
  otherPaces: {},
  pacedIds: [],
};

/** Requests of further routes or models are not counted. */
const MAX_GROUPS = 64;
/** Maximum number of servers of each kind in one VM's tally. */
const MAX_IDS = 4;
/** Longer times to the first byte are clamped to this. */
const MAX_FIRST_BYTE_MS = 10_000;
/** Failure share of a bad version. */
const BAD_SHARE = 0.3;
/** Lower bound of the failure share assumed for the other versions. */
const MIN_OTHERS_SHARE = 0.02;
/** Factor on the observed failure share of the other versions. */
const OTHERS_FACTOR = 1.5;
const MIN_ERRORS = 3;
/** Threshold of the log likelihood ratio for a bad version. */
const MIN_EVIDENCE = 5;
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
/** Share by which each running request prolongs the others' pauses. */
const PAUSE_SHARE_PER_REQUEST = 0.05;

/** Returns the tally with one more request. */
export function addSample(
  tally: VersionTally,
  sample: TallySample,
): VersionTally {
  const { isTarget, isError, backendId } = sample;
  return {
    ...tally,
    target: isTarget ? addTo(tally.target, sample) : tally.target,
    others: isTarget ? tally.others : addTo(tally.others, sample),
    failingIds: isTarget && isError
      ? withId(tally.failingIds, backendId)
      : tally.failingIds,
  };
}

/** Returns the tally with the pace of one more answer. */
export function addPace(tally: VersionTally, pace: PaceSample): VersionTally {
  const { model, isTarget, pauseMs, runningCount, backendId } = pace;
  const paces = isTarget ? tally.targetPaces : tally.otherPaces;
  const isFull = Object.keys(paces).length >= MAX_GROUPS;
  if (isFull && paces[model] === undefined) return tally;
  const loadFactor = 1 + PAUSE_SHARE_PER_REQUEST * runningCount;
  const added = combineGroups(paces, {
    [model]: logSumsOf(pauseMs / loadFactor),
  }, 1);
  if (!isTarget) return { ...tally, otherPaces: added };
  const pacedIds = withId(tally.pacedIds, backendId);
  return { ...tally, targetPaces: added, pacedIds };
}

/** Returns the sum of the tallies of several VMs. */
export function mergeTallies(tallies: Iterable<VersionTally>): VersionTally {
  let merged = EMPTY_TALLY;
  for (const tally of tallies) {
    merged = {
      target: combineRoutes(merged.target, tally.target, 1),
      others: combineRoutes(merged.others, tally.others, 1),
      failingIds: union(merged.failingIds, tally.failingIds),
      targetPaces: combineGroups(merged.targetPaces, tally.targetPaces, 1),
      otherPaces: combineGroups(merged.otherPaces, tally.otherPaces, 1),
      pacedIds: union(merged.pacedIds, tally.pacedIds),
    };
  }
  return merged;
}

/**
 * Returns the counts added since an earlier state of the same tally. The pace of
 * the other versions is that of the whole time: at the end of a roll-out they
 * have few requests left, and their servers are idle.
 */
export function tallySince(
  tally: VersionTally,
  earlier: VersionTally,
): VersionTally {
  return {
    ...tally,
    target: combineRoutes(tally.target, earlier.target, -1),
    others: combineRoutes(tally.others, earlier.others, -1),
    targetPaces: combineGroups(tally.targetPaces, earlier.targetPaces, -1),
  };
}

/** Returns why the target is worse than the other versions, if it is. */
export function targetFault(tally: VersionTally): string | undefined {
  return timeFault(tally) ?? errorFault(tally) ?? paceFault(tally);
}

/** The sums of a tally over all routes, for logs. */
export interface TallySummary {
  readonly count: number;
  readonly errorCount: number;
  /** Geometric mean; undefined without requests. */
  readonly meanMs: number | undefined;
}

/** Sums up a version's requests. */
export function summarise(routes: RouteTallies): TallySummary {
  const { count, errorCount, logSum } = total(routes);
  const meanMs = count === 0 ? undefined : Math.round(Math.exp(logSum / count));
  return { count, errorCount, meanMs };
}

const EMPTY_ROUTE: RouteTally = { ...EMPTY_LOG_SUMS, errorCount: 0 };

function timeFault({ target, others }: VersionTally): string | undefined {
  const groups: [string, RouteTallies][] = Object.entries(target).map((
    [route, tally],
  ) => [route, { [route]: tally }]);
  groups.push(["all routes", target]);
  for (const [name, routes] of groups) {
    if (meanOf(total(routes)) < Math.log(MIN_SLOW_MS)) continue;
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
  groups.push(["all routes", total(target), total(others)]);
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
  const successCount = target.count - target.errorCount;
  return target.errorCount * Math.log(BAD_SHARE / othersShare) +
    successCount * Math.log((1 - BAD_SHARE) / (1 - othersShare));
}

function meanOf({ count, logSum }: LogSums): number {
  return count === 0 ? 0 : logSum / count;
}

function withId(ids: readonly string[], id: string): readonly string[] {
  return ids.includes(id) || ids.length >= MAX_IDS ? ids : [...ids, id];
}

function union(a: readonly string[], b: readonly string[]): readonly string[] {
  return [...new Set([...a, ...b])];
}

function total(tallies: RouteTallies): RouteTally {
  let sum = EMPTY_ROUTE;
  for (const tally of Object.values(tallies)) sum = combineRoute(sum, tally, 1);
  return sum;
}

function combineRoutes(
  a: RouteTallies,
  b: RouteTallies,
  sign: 1 | -1,
): RouteTallies {
  const result: Record<string, RouteTally> = { ...a };
  for (const [route, tally] of Object.entries(b)) {
    result[route] = combineRoute(result[route] ?? EMPTY_ROUTE, tally, sign);
  }
  return result;
}

function combineRoute(a: RouteTally, b: RouteTally, sign: 1 | -1): RouteTally {
  return {
    ...combineLogSums(a, b, sign),
    errorCount: a.errorCount + sign * b.errorCount,
  };
}

function addTo(tallies: RouteTallies, sample: TallySample): RouteTallies {
  const current = tallies[sample.route];
  if (current === undefined && Object.keys(tallies).length >= MAX_GROUPS) {
    return tallies;
  }
  const sampleTally: RouteTally = {
    ...logSumsOf(Math.min(MAX_FIRST_BYTE_MS, sample.firstByteMs)),
    errorCount: sample.isError ? 1 : 0,
  };
  return {
    ...tallies,
    [sample.route]: combineRoute(current ?? EMPTY_ROUTE, sampleTally, 1),
  };
}
