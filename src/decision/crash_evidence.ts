/**
 * Finds the prompt parts, and the requests, under which servers end. A report
 * says that a server's process ended before a request's answer had got anywhere,
 * and which parts the request's prompt shares with others; one more part is the
 * digest of the request, which only its repeats share. Most of the requests reported with a
 * crash are its victims. So a part is fatal only if its requests were there at
 * several crashes and no answer to it has got far since, while one to a request
 * without it has: servers that end whatever they are asked speak against no
 * part, least of all against one that every request has. The part that explains
 * the most crashes goes first, and what it explains does not count against the
 * others; parts with answers of late come last and need more crashes.
 */

/** A request that was at a server whose process ended. */
export interface CrashReport {
  readonly requestId: string;
  /** The server and the start of its process. */
  readonly serverKey: string;
  readonly partIds: readonly string[];
  /** By the clock of the VM that holds the report. */
  readonly atMs: number;
}

/** When answers last got far. */
export interface AnswerTimes {
  /** To prompts with a part; undefined if not of late. */
  readonly answeredAtMs: (partId: string) => number | undefined;
  /** To any prompt; -Infinity before the first. */
  readonly newestAtMs: number;
}

/** Parts that always come together; a request with all of them is fatal. */
export interface FatalParts {
  readonly partIds: readonly string[];
  /** The reports that speak against them, oldest first. */
  readonly reports: readonly CrashReport[];
}

/** Crashes that speak against a part without an answer of late. */
const MIN_CRASHES = 3;
/** Crashes since the last answer that speak against any other part. */
const MIN_CRASHES_SINCE_ANSWER = 12;
/** One request that is repeated may be a victim several times. */
const MIN_REQUESTS = 3;
/** Repeats by callers, who repeat a victim less often. */
const MIN_REPEATS = 2;
/** Crashes under one request after which it is not sent to a further server. */
const MIN_SUSPECT_CRASHES = 2;
const DIGEST_PREFIX = "request:";
/** How long before the crashes another request's answer may have got far. */
const CONTRAST_MS = 60_000;
/** Times from other VMs are off by the time on the way. */
const CLOCK_MARGIN_MS = 100;
/** Servers that end within this time may have one cause, other than a prompt. */
const SAME_MOMENT_MS = 80;

/** Pause before the first trial after a crash; doubles with each failed one. */
const FIRST_TRIAL_MS = 60_000;
/** Crashes this far apart belong to different trials. */
const TRIAL_GAP_MS = 10_000;

interface Suspect {
  readonly partId: string;
  readonly reports: readonly CrashReport[];
  readonly serverCount: number;
  readonly requestIds: ReadonlySet<string>;
}

/** Returns the part that a request shares with its repeats only. */
export function digestPartId(digest: string): string {
  return DIGEST_PREFIX + digest;
}

function isDigestPart(partId: string): boolean {
  return partId.startsWith(DIGEST_PREFIX);
}

/**
 * Whether servers ended under a request so often that it is not to be repeated,
 * though it may be a victim.
 */
export function isSuspectRequest(
  reports: readonly CrashReport[],
  { partIds, answers }: {
    readonly partIds: readonly string[];
    readonly answers: AnswerTimes;
  },
): boolean {
  const digest = partIds.find(isDigestPart);
  if (digest === undefined || answers.answeredAtMs(digest) !== undefined) {
    return false;
  }
  const crashes = reports.filter((report) => report.partIds.includes(digest));
  const serverKeys = new Set(crashes.map(({ serverKey }) => serverKey));
  return serverKeys.size >= MIN_SUSPECT_CRASHES;
}

/** Returns the fatal parts, in the order in which they explain the crashes. */
export function findFatalParts(
  reports: readonly CrashReport[],
  answers: AnswerTimes,
): FatalParts[] {
  const crashAtMs = crashTimes(reports);
  const fatal: FatalParts[] = [];
  let unexplained = reports;
  for (const hasAnswer of [false, true]) {
    for (;;) {
      const suspects = suspectsOf(unexplained, {
        hasAnswer,
        answers,
        crashAtMs,
      });
      const worst = suspects.reduce<Suspect | undefined>(worseOf, undefined);
      if (worst === undefined) break;
      fatal.push({
        partIds: suspects.filter((one) => isInseparable(one, worst))
          .map(({ partId }) => partId).sort(),
        reports: [...worst.reports].sort((a, b) => a.atMs - b.atMs),
      });
      const explained = new Set(
        worst.reports.map(({ serverKey }) => serverKey),
      );
      unexplained = unexplained.filter(({ serverKey }) =>
        !explained.has(serverKey)
      );
    }
  }
  return fatal;
}

/** When the parts may be tried again, by when servers ended under them. */
export function trialTimeMs({ reports }: FatalParts): number {
  let pauseMs = FIRST_TRIAL_MS;
  let lastMs = reports[0]?.atMs ?? -Infinity;
  for (const { atMs } of reports) {
    if (atMs - lastMs > TRIAL_GAP_MS) pauseMs *= 2;
    lastMs = atMs;
  }
  return lastMs + pauseMs;
}

/** When each server ended: the time of its first report. */
function crashTimes(
  reports: readonly CrashReport[],
): ReadonlyMap<string, number> {
  const times = new Map<string, number>();
  for (const { serverKey, atMs } of reports) {
    times.set(serverKey, Math.min(atMs, times.get(serverKey) ?? Infinity));
  }
  return times;
}

function suspectsOf(
  reports: readonly CrashReport[],
  { hasAnswer, answers, crashAtMs }: {
    readonly hasAnswer: boolean;
    readonly answers: AnswerTimes;
    readonly crashAtMs: ReadonlyMap<string, number>;
  },
): Suspect[] {
  const suspects: Suspect[] = [];
  const minCrashes = hasAnswer ? MIN_CRASHES_SINCE_ANSWER : MIN_CRASHES;
  for (const [partId, group] of groupByPart(reports)) {
    const lastAnswerMs = answers.answeredAtMs(partId);
    if ((lastAnswerMs !== undefined) !== hasAnswer) continue;
    const counted = lastAnswerMs === undefined
      ? group
      : group.filter(({ atMs }) => atMs > lastAnswerMs);
    const [first] = counted;
    if (first === undefined) continue;
    // All parts of an answered request have its time, so this one lacked it.
    const contrastMs = lastAnswerMs ?? first.atMs - CONTRAST_MS;
    if (answers.newestAtMs < contrastMs + CLOCK_MARGIN_MS) continue;
    const requestIds = new Set(counted.map(({ requestId }) => requestId));
    const isDigest = isDigestPart(partId);
    if (requestIds.size < (isDigest ? MIN_REPEATS : MIN_REQUESTS)) continue;
    const serverKeys = new Set(counted.map(({ serverKey }) => serverKey));
    const times = [...serverKeys].map((key) => crashAtMs.get(key) ?? 0);
    // Repeats at several servers at one moment are no coincidence.
    const crashCount = isDigest ? serverKeys.size : countMoments(times);
    if (crashCount < minCrashes) continue;
    const serverCount = serverKeys.size;
    suspects.push({ partId, reports: counted, serverCount, requestIds });
  }
  return suspects;
}

function groupByPart(
  reports: readonly CrashReport[],
): ReadonlyMap<string, CrashReport[]> {
  const groups = new Map<string, CrashReport[]>();
  for (const report of reports) {
    for (const partId of new Set(report.partIds)) {
      const group = groups.get(partId);
      if (group === undefined) groups.set(partId, [report]);
      else group.push(report);
    }
  }
  return groups;
}

/** Counts times, those of one moment once. */
function countMoments(timesMs: readonly number[]): number {
  let count = 0;
  let lastMs = -Infinity;
  for (const atMs of timesMs.toSorted((a, b) => a - b)) {
    if (atMs - lastMs <= SAME_MOMENT_MS) continue;
    count += 1;
    lastMs = atMs;
  }
  return count;
}

/**
 * The part of fewer requests is worse where servers ended equally often: the
 * part of all requests was at every crash as well.
 */
function worseOf(a: Suspect | undefined, b: Suspect): Suspect {
  if (a === undefined) return b;
  if (a.serverCount !== b.serverCount) {
    return a.serverCount > b.serverCount ? a : b;
  }
  return a.requestIds.size <= b.requestIds.size ? a : b;
}

/** Whether two parts were in the same requests at the same crashes. */
function isInseparable(a: Suspect, b: Suspect): boolean {
  return a.reports.length === b.reports.length &&
    a.reports.every((report) => b.reports.includes(report));
}
