/**
 * What requests saw of a version in a roll-out beside the other versions of its
 * service: failures and times to the first byte, by route. A version is worse
 * when its failures are far more likely under a bad version than under the
 * others' own rate, or when its answers are several times slower.
 */

/** Counts of one route. */
export interface RouteTally {
  readonly count: number;
  readonly errorCount: number;
  /** Sum of the natural logarithms of the times to the first byte, in ms. */
  readonly logMsSum: number;
}

/** Counts by route. */
export type RouteTallies = Readonly<Record<string, RouteTally>>;

/** What one VM, or all together, saw in one roll-out. */
export interface VersionTally {
  readonly target: RouteTallies;
  readonly others: RouteTallies;
  /** Servers of the target that failed requests, a few of them. */
  readonly failingIds: readonly string[];
}

/** One request's part. */
export interface TallySample {
  readonly route: string;
  readonly isTarget: boolean;
  readonly isError: boolean;
  readonly firstByteMs: number;
  readonly backendId: string;
}

/** A tally of nothing. */
export const EMPTY_TALLY: VersionTally = {
  target: {},
  others: {},
  failingIds: [],
};

const MAX_ROUTES = 64;
const MAX_FAILING_IDS = 4;
/** A first byte later than this counts as this late. */
const LONGEST_MS = 10_000;
/** The share of failures looked for. */
const BAD_SHARE = 0.3;
/** The least share of failures that the other versions are taken to have. */
const LEAST_BASE_SHARE = 0.02;
const BASE_FACTOR = 1.5;
const LEAST_ERRORS = 3;
/** Logarithm of how much likelier a bad version has to be. */
const LEAST_EVIDENCE = 5;
/** Times slower that count as bad, and the requests that it takes to say so. */
const SLOW_FACTOR = 3.5;
const LEAST_SLOW_COUNT = 6;
const LEAST_SLOW_MS = 150;

/** The tally with one more request. */
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

/** The tallies of several VMs together. */
export function mergeTallies(tallies: Iterable<VersionTally>): VersionTally {
  let merged = EMPTY_TALLY;
  for (const tally of tallies) {
    const ids = new Set([...merged.failingIds, ...tally.failingIds]);
    merged = {
      target: combine(merged.target, tally.target, 1),
      others: combine(merged.others, tally.others, 1),
      failingIds: [...ids],
    };
  }
  return merged;
}

/** What came since an earlier state of the same tally. */
export function tallySince(
  tally: VersionTally,
  earlier: VersionTally,
): VersionTally {
  return {
    target: combine(tally.target, earlier.target, -1),
    others: combine(tally.others, earlier.others, -1),
    failingIds: tally.failingIds,
  };
}

/** Why the target is worse than the other versions, if it is. */
export function targetFault(
  { target, others, failingIds }: VersionTally,
): string | undefined {
  const routes = Object.entries(target);
  const groups: [string, RouteTally, RouteTally][] = routes.map((
    [route, tally],
  ) => [route, tally, others[route] ?? NOTHING]);
  groups.push(["all routes", total(target), total(others)]);
  for (const [name, own, base] of groups) {
    if (isSlower(own, base)) {
      return `${name}: ${own.count} answers several times slower`;
    }
    // One failing server is no failing version.
    if (failingIds.length < 2) continue;
    if (errorEvidence(own, base) < LEAST_EVIDENCE) continue;
    return `${name}: ${own.errorCount} of ${own.count} failed`;
  }
  return undefined;
}

const NOTHING: RouteTally = { count: 0, errorCount: 0, logMsSum: 0 };

function errorEvidence(own: RouteTally, base: RouteTally): number {
  if (own.errorCount < LEAST_ERRORS) return 0;
  const baseShare = Math.min(
    BAD_SHARE / 2,
    LEAST_BASE_SHARE +
      BASE_FACTOR * base.errorCount / Math.max(1, base.count),
  );
  const soundCount = own.count - own.errorCount;
  return own.errorCount * Math.log(BAD_SHARE / baseShare) +
    soundCount * Math.log((1 - BAD_SHARE) / (1 - baseShare));
}

function isSlower(own: RouteTally, base: RouteTally): boolean {
  if (own.count < LEAST_SLOW_COUNT || base.count < LEAST_SLOW_COUNT) {
    return false;
  }
  const ownMean = own.logMsSum / own.count;
  const baseMean = base.logMsSum / base.count;
  return ownMean - baseMean > Math.log(SLOW_FACTOR) &&
    ownMean > Math.log(LEAST_SLOW_MS);
}

function total(tallies: RouteTallies): RouteTally {
  let sum = NOTHING;
  for (const tally of Object.values(tallies)) sum = plus(sum, tally, 1);
  return sum;
}

function combine(
  a: RouteTallies,
  b: RouteTallies,
  sign: 1 | -1,
): RouteTallies {
  const result: Record<string, RouteTally> = { ...a };
  for (const [route, tally] of Object.entries(b)) {
    result[route] = plus(result[route] ?? NOTHING, tally, sign);
  }
  return result;
}

function plus(a: RouteTally, b: RouteTally, sign: 1 | -1): RouteTally {
  return {
    count: a.count + sign * b.count,
    errorCount: a.errorCount + sign * b.errorCount,
    logMsSum: a.logMsSum + sign * b.logMsSum,
  };
}

function addTo(tallies: RouteTallies, sample: TallySample): RouteTallies {
  const known = tallies[sample.route];
  if (known === undefined && Object.keys(tallies).length >= MAX_ROUTES) {
    return tallies;
  }
  const ms = Math.min(LONGEST_MS, Math.max(1, sample.firstByteMs));
  const one: RouteTally = {
    count: 1,
    errorCount: sample.isError ? 1 : 0,
    logMsSum: Math.log(ms),
  };
  return { ...tallies, [sample.route]: plus(known ?? NOTHING, one, 1) };
}
