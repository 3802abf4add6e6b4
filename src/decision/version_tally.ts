/**
 * Failures and times to the first byte of the target version of a roll-out and
 * of the other versions of its service, by route, and the pace of their answers.
 */
import {
  addGroups,
  addLogSums,
  combineGroups,
  combineLogSums,
  EMPTY_LOG_SUMS,
  type GroupedLogSums,
  type LogSums,
  logSumsOf,
  type Mutable,
  type MutableGroups,
} from "./log_sums.ts";
import {
  addTimeCounts,
  combineTimeCounts,
  type GroupedTimeCounts,
  timeCountsOf,
} from "./time_counts.ts";

/** Requests, and how many of them failed. */
export interface ErrorTally {
  readonly count: number;
  readonly errorCount: number;
}

/** Request counts of one route, and the times to the first byte. */
export interface RouteTally extends LogSums, ErrorTally {}

export type RouteTallies = Readonly<Record<string, RouteTally>>;

/** Tallies of one roll-out, of one VM or merged from several. */
export interface VersionTally {
  readonly target: RouteTallies;
  readonly others: RouteTallies;
  /** Answers of servers that were busy, of all routes. */
  readonly busyTarget: ErrorTally;
  readonly busyOthers: ErrorTally;
  /** Some of the target's servers that failed requests. */
  readonly failingIds: readonly string[];
  /** Times to the first byte, without failures, by route and distance. */
  readonly targetTimes: GroupedTimeCounts;
  readonly otherTimes: GroupedTimeCounts;
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
  /** Whether the server had many requests when it answered. */
  readonly isBusy: boolean;
  readonly firstByteMs: number;
  /** Added latency of the server's place. */
  readonly distanceMs: number;
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

const NO_ERRORS: ErrorTally = { count: 0, errorCount: 0 };

export const EMPTY_TALLY: VersionTally = {
  target: {},
  others: {},
  busyTarget: NO_ERRORS,
  busyOthers: NO_ERRORS,
  failingIds: [],
  targetTimes: {},
  otherTimes: {},
  targetPaces: {},
  otherPaces: {},
  pacedIds: [],
};

/** Requests of further routes or models are not counted. */
const MAX_GROUPS = 64;
const MAX_GROUP_LENGTH = 255;
/** Maximum number of servers of each kind in one VM's tally. */
const MAX_IDS = 4;
/** Longer times to the first byte are clamped to this. */
const MAX_FIRST_BYTE_MS = 10_000;
/** Share by which each running request prolongs the others' pauses. */
const PAUSE_SHARE_PER_REQUEST = 0.05;

/** Returns the tally with one more request. */
export function addSample(
  tally: VersionTally,
  sample: TallySample,
): VersionTally {
  const { isTarget, isError, isBusy, backendId } = sample;
  const busy: ErrorTally = isBusy
    ? { count: 1, errorCount: isError ? 1 : 0 }
    : NO_ERRORS;
  return {
    ...tally,
    target: isTarget ? addTo(tally.target, sample) : tally.target,
    others: isTarget ? tally.others : addTo(tally.others, sample),
    busyTarget: isTarget
      ? combineErrors(tally.busyTarget, busy, 1)
      : tally.busyTarget,
    busyOthers: isTarget
      ? tally.busyOthers
      : combineErrors(tally.busyOthers, busy, 1),
    failingIds: isTarget && isError
      ? withId(tally.failingIds, backendId)
      : tally.failingIds,
    targetTimes: isTarget
      ? addTime(tally.targetTimes, sample)
      : tally.targetTimes,
    otherTimes: isTarget ? tally.otherTimes : addTime(tally.otherTimes, sample),
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
  // Mutable sums: with a copy for each VM's tally this took 40 ms for 195 VMs.
  const target: MutableGroups<RouteTally> = {};
  const others: MutableGroups<RouteTally> = {};
  const busyTarget = { ...NO_ERRORS };
  const busyOthers = { ...NO_ERRORS };
  const failingIds = new Set<string>();
  const targetTimes: Record<string, number[]> = {};
  const otherTimes: Record<string, number[]> = {};
  const targetPaces: MutableGroups<LogSums> = {};
  const otherPaces: MutableGroups<LogSums> = {};
  const pacedIds = new Set<string>();
  for (const tally of tallies) {
    addRoutes(target, tally.target);
    addRoutes(others, tally.others);
    addErrors(busyTarget, tally.busyTarget);
    addErrors(busyOthers, tally.busyOthers);
    for (const id of tally.failingIds) failingIds.add(id);
    addTimeCounts(targetTimes, tally.targetTimes);
    addTimeCounts(otherTimes, tally.otherTimes);
    addGroups(targetPaces, tally.targetPaces);
    addGroups(otherPaces, tally.otherPaces);
    for (const id of tally.pacedIds) pacedIds.add(id);
  }
  return {
    ...{ target, others, busyTarget, busyOthers },
    failingIds: [...failingIds],
    ...{ targetTimes, otherTimes, targetPaces, otherPaces },
    pacedIds: [...pacedIds],
  };
}

/**
 * Returns the counts added since an earlier state of the same tally. The pace,
 * the spread of times and the answers of busy servers of the other versions are
 * those of the whole time: at the end of a roll-out they have few requests left,
 * and their servers are idle.
 */
export function tallySince(
  tally: VersionTally,
  earlier: VersionTally,
): VersionTally {
  return {
    ...tally,
    target: combineRoutes(tally.target, earlier.target, -1),
    others: combineRoutes(tally.others, earlier.others, -1),
    busyTarget: combineErrors(tally.busyTarget, earlier.busyTarget, -1),
    targetTimes: combineTimeCounts(tally.targetTimes, earlier.targetTimes, -1),
    targetPaces: combineGroups(tally.targetPaces, earlier.targetPaces, -1),
  };
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
  const { count, errorCount, logSum } = totalOf(routes);
  const meanMs = count === 0 ? undefined : Math.round(Math.exp(logSum / count));
  return { count, errorCount, meanMs };
}

const EMPTY_ROUTE: RouteTally = { ...EMPTY_LOG_SUMS, errorCount: 0 };

function withId(ids: readonly string[], id: string): readonly string[] {
  return ids.includes(id) || ids.length >= MAX_IDS ? ids : [...ids, id];
}

/** Returns the sum over all routes. */
export function totalOf(tallies: RouteTallies): RouteTally {
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

function addRoutes(sums: MutableGroups<RouteTally>, added: RouteTallies): void {
  for (const [route, tally] of Object.entries(added)) {
    const sum = sums[route] ??= { ...EMPTY_ROUTE };
    addLogSums(sum, tally);
    sum.errorCount += tally.errorCount;
  }
}

function addErrors(sum: Mutable<ErrorTally>, added: ErrorTally): void {
  sum.count += added.count;
  sum.errorCount += added.errorCount;
}

function combineErrors(
  a: ErrorTally,
  b: ErrorTally,
  sign: 1 | -1,
): ErrorTally {
  return {
    count: a.count + sign * b.count,
    errorCount: a.errorCount + sign * b.errorCount,
  };
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

function addTime(
  times: GroupedTimeCounts,
  { route, isError, firstByteMs, distanceMs }: TallySample,
): GroupedTimeCounts {
  if (isError) return times;
  const group = `${distanceMs} ${route}`.slice(0, MAX_GROUP_LENGTH);
  const isFull = Object.keys(times).length >= MAX_GROUPS;
  if (isFull && times[group] === undefined) return times;
  return combineTimeCounts(times, { [group]: timeCountsOf(firstByteMs) }, 1);
}
