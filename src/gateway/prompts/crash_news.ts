/**
 * What VMs tell each other of servers that ended under requests: recent reports
 * of crashes, those that hold a quarantine, and when answers to the parts in
 * question last got far.
 */
import { type CrashReport, type FatalParts } from "../../decision/mod.ts";
import { type BackendServer } from "../../model/mod.ts";

/** A report as a VM holds it. */
export interface HeldReport extends CrashReport {
  /** The server answered a later request, so it had not ended. */
  readonly isWithdrawn: boolean;
  /** When this VM made the report, received it, or knew it was withdrawn. */
  readonly learnedAtMs: number;
}

/** A report as sent to another VM. */
export interface SharedCrash {
  readonly requestId: string;
  readonly serverKey: string;
  readonly partIds: readonly string[];
  readonly ageMs: number;
  readonly isWithdrawn: boolean;
}

type SharedReport = Omit<HeldReport, "learnedAtMs">;

/** What a VM tells another of crashes. */
export interface CrashNews {
  readonly crashes: readonly SharedCrash[];
  /** Parts in question, and the age of the last answer that got far. */
  readonly survived: readonly (readonly [partId: string, ageMs: number])[];
}

/** Bounds of a report, whatever a caller sends. */
export const MAX_REPORTED_PARTS = 32;
export const MAX_NAME_LENGTH = 255;
export const MAX_SERVER_KEY_LENGTH = 300;
/**
 * Reports are passed on for this long, within which every VM exchanges updates
 * with its neighbours, and after it only if they hold a quarantine.
 */
const NEWS_MS = 3500;
const MAX_NEWS = 64;
const MAX_QUARANTINES = 8;
/** Newest requests, and newest servers, whose reports hold a quarantine. */
const EVIDENCE_COUNT = 4;
const REPORTS_PER_QUARANTINE = 2 * EVIDENCE_COUNT;
/** Bounds of a message. */
export const MAX_SHARED_CRASHES = MAX_NEWS +
  MAX_QUARANTINES * REPORTS_PER_QUARANTINE;
export const MAX_SHARED_SURVIVED = 64;
/** Whether a report is recent enough to be passed on by itself. */
export function isNews({ learnedAtMs }: HeldReport, nowMs: number): boolean {
  return nowMs - learnedAtMs < NEWS_MS;
}

/** Returns the reports to send, each once. */
export function crashesToShare(
  held: readonly HeldReport[],
  { fatal, nowMs }: {
    readonly fatal: readonly FatalParts[];
    readonly nowMs: number;
  },
): SharedCrash[] {
  const recent = held.filter((report) => isNews(report, nowMs))
    .slice(-MAX_NEWS);
  const shared = new Map<string, SharedReport>(
    recent.map((report) => [reportKeyOf(report), report]),
  );
  for (const { reports } of fatal.slice(0, MAX_QUARANTINES)) {
    for (const report of evidenceOf(reports)) {
      shared.set(reportKeyOf(report), { ...report, isWithdrawn: false });
    }
  }
  return [...shared.values()].map((report) => ({
    requestId: report.requestId,
    serverKey: report.serverKey,
    partIds: report.partIds,
    ageMs: ageOf(report.atMs, nowMs),
    isWithdrawn: report.isWithdrawn,
  }));
}

/** Names a server and the start of its process. */
export function serverKeyOf({ id, processStartedAtMs }: BackendServer): string {
  return `${id}@${processStartedAtMs}`;
}

/**
 * Returns enough reports for another VM to come to the same judgement, which
 * needs several crashed servers and several requests.
 */
function evidenceOf(reports: readonly CrashReport[]): CrashReport[] {
  const newestOfEach = (
    nameOf: (report: CrashReport) => string,
  ): CrashReport[] => {
    const newest = new Map<string, CrashReport>();
    for (const report of reports) {
      newest.delete(nameOf(report));
      newest.set(nameOf(report), report);
    }
    return [...newest.values()].slice(-EVIDENCE_COUNT);
  };
  return [
    ...newestOfEach(({ requestId }) => requestId),
    ...newestOfEach(({ serverKey }) => serverKey),
  ];
}

/** Returns the parts that a report may name. */
export function reportedParts(partIds: readonly string[]): string[] {
  return partIds
    .filter(({ length }) => length > 0 && length <= MAX_NAME_LENGTH)
    .slice(0, MAX_REPORTED_PARTS);
}

/** Names a report, whichever VM holds it. */
export function reportKeyOf(
  { requestId, serverKey }: Pick<CrashReport, "requestId" | "serverKey">,
): string {
  return `${requestId} ${serverKey}`;
}

/** Returns an age in whole milliseconds, as messages have it. */
export function ageOf(atMs: number, nowMs: number): number {
  return Math.max(0, Math.round(nowMs - atMs));
}

/** Returns the parts of all reports; those in most reports matter most. */
export function mostReported(reports: readonly CrashReport[]): string[] {
  const counts = new Map<string, number>();
  for (const partId of reports.flatMap((report) => report.partIds)) {
    counts.set(partId, (counts.get(partId) ?? 0) + 1);
  }
  return [...counts].sort(([, a], [, b]) => b - a).map(([partId]) => partId);
}
