/**
 * Failures and times to the first byte of the target version of a roll-out and
 * of the other versions of its service, by route. The target is worse if its
 * failures are far more likely at the failure rate of a bad version than at the
 * rate of the other versions, or if its answers are several times slower.
 */

/** Request counts and times of one route. */
export interface RouteTally {
  readonly count: number;
  readonly errorCount: number;
  /** Sum of the natural logarithms of the times to the first byte, in ms. */
  readonly logMsSum: number;
}

export type RouteTallies = Readonly<Record<string, RouteTally>>;

/** Tallies of one roll-out, of one VM or merged from several. */
export interface VersionTally {
  readonly target: RouteTallies;
  readonly others: RouteTallies;
  /** Some of the target's servers that failed requests. */
  readonly failingIds: readonly string[];
}

/** Outcome of one request. */
export interface TallySample {
  readonly route: string;
  readonly isTarget: boolean;
  readonly isError: boolean;
  readonly firstByteMs: number;
  readonly backendId: string;
}

export const EMPTY_TALLY: VersionTally = {
  target: {},
  others: {},
  failingIds: [],
};

/** Requests of further routes are not counted. */
const MAX_ROUTES = 64;
/** Maximum number of failing servers in one VM's tally. */
const MAX_FAILING_IDS = 4;
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
/** Ratio of geometric mean times from which the target counts as slow. */
const SLOW_FACTOR = 3.5;
/** Requests needed on each side to compare times. */
const MIN_SLOW_COUNT = 6;
/** A lower geometric mean time never counts as slow. */
const MIN_SLOW_MS = 150;

/** Returns the tally with one more request. */
export function addSample(
  tally: VersionTally,
  sample: TallySample,
): VersionTally {
  const { isTarget, isError, backendId } = sample;
  const isNewFailure = isTarget && isError &&
    !tally.failingIds.includes(backendId) &&
    tally.failingIds.length < MAX_FAILING_IDS;
  return {
    target: isTarget ? addTo(tally.target, sample) : tally.target,
    others: isTarget ? tally.others : addTo(tally.others, sample),
    failingIds: isNewFailure
      ? [...tally.failingIds, backendId]
      : tally.failingIds,
  };
}

/** Returns the sum of the tallies of several VMs. */
export function mergeTallies(tallies: Iterable<VersionTally>): VersionTally {
  let merged = EMPTY_TALLY;
  for (const tally of tallies) {
    const ids = new Set([...merged.failingIds, ...tally.failingIds]);
    merged = {
      target: combineRoutes(merged.target, tally.target, 1),
      others: combineRoutes(merged.others, tally.others, 1),
      failingIds: [...ids],
    };
  }
  return merged;
}

/** Returns the counts added since an earlier state of the same tally. */
export function tallySince(
  tally: VersionTally,
  earlier: VersionTally,
): VersionTally {
  return {
    target: combineRoutes(tally.target, earlier.target, -1),
    others: combineRoutes(tally.others, earlier.others, -1),
    failingIds: tally.failingIds,
  };
}

/** Returns why the target is worse than the other versions, if it is. */
export function targetFault(
  { target, others, failingIds }: VersionTally,
): string | undefined {
  const routes = Object.entries(target);
  const groups: [string, RouteTally, RouteTally][] = routes.map((
    [route, tally],
  ) => [route, tally, others[route] ?? EMPTY_ROUTE]);
  groups.push(["all routes", total(target), total(others)]);
  for (const [name, targetTally, othersTally] of groups) {
    if (isSlower(targetTally, othersTally)) {
      return `${name}: ${targetTally.count} answers several times slower`;
    }
    // Failures of a single server are a fault of the server, not the version.
    if (failingIds.length < 2) continue;
    if (errorEvidence(targetTally, othersTally) < MIN_EVIDENCE) continue;
    return `${name}: ${targetTally.errorCount} of ${targetTally.count} failed`;
  }
  return undefined;
}

const EMPTY_ROUTE: RouteTally = { count: 0, errorCount: 0, logMsSum: 0 };

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

function isSlower(target: RouteTally, others: RouteTally): boolean {
  if (target.count < MIN_SLOW_COUNT || others.count < MIN_SLOW_COUNT) {
    return false;
  }
  const targetMean = target.logMsSum / target.count;
  const othersMean = others.logMsSum / others.count;
  return targetMean - othersMean > Math.log(SLOW_FACTOR) &&
    targetMean > Math.log(MIN_SLOW_MS);
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
    count: a.count + sign * b.count,
    errorCount: a.errorCount + sign * b.errorCount,
    logMsSum: a.logMsSum + sign * b.logMsSum,
  };
}

function addTo(tallies: RouteTallies, sample: TallySample): RouteTallies {
  const current = tallies[sample.route];
  if (current === undefined && Object.keys(tallies).length >= MAX_ROUTES) {
    return tallies;
  }
  const ms = Math.min(MAX_FIRST_BYTE_MS, Math.max(1, sample.firstByteMs));
  const sampleTally: RouteTally = {
    count: 1,
    errorCount: sample.isError ? 1 : 0,
    logMsSum: Math.log(ms),
  };
  return {
    ...tallies,
    [sample.route]: combineRoute(current ?? EMPTY_ROUTE, sampleTally, 1),
  };
}
