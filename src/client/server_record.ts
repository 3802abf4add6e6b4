/** The directory's record of one backend server and its updates. */
import {
  addSlownessSample,
  applyBreaker,
  type BreakerOptions,
  type BreakerState,
  type LoadReport,
  NO_SIGNALS,
  type ServerSignals,
  serverStatus,
  type ServerView,
  type Slowness,
  slownessRatio,
  takesNewWork,
} from "../decision/mod.ts";
import { type VersionName, type Vm } from "../model/mod.ts";
import { type Drains } from "./drains.ts";
import {
  type DurationEstimate,
  type DurationSample,
} from "./duration_estimates.ts";

const SERVICE_SMOOTHING_SHARE = 0.1;

/** State of one backend server; the directory changes it in place. */
export interface ServerRecord {
  vm: Vm;
  report: LoadReport | undefined;
  /** Whether the server has sent a load report. */
  isReported: boolean;
  /** Sequence number of the newest load report. */
  sequence: number;
  /** The server name in the newest load report. */
  reportedName: string;
  /** The loaded versions, if the server has reported. */
  versions: ReadonlySet<VersionName> | undefined;
  signals: ServerSignals;
  /** Time of the last report, answer or failed poll. */
  lastCheckedAtMs: number;
  inFlightCount: number;
  breaker: BreakerState;
  slowness: Slowness;
  /** Smoothed time that a request occupies a slot, over all kinds of work. */
  serviceMs: number;
  firstUsedAtMs: number | undefined;
}

/** The result of one piece of work on a server. */
export interface UseResult extends DurationSample {
  /** `neutral`: no evidence of the server's health, as for a cancelled call. */
  readonly verdict: "success" | "failure" | "neutral";
}

/** Initial estimates of a new server. */
export type ServerPriors = Pick<
  ServerRecord,
  "breaker" | "slowness" | "serviceMs"
>;

/** Creates the record of a server that has not reported yet. */
export function createServerRecord(
  vm: Vm,
  priors: ServerPriors,
): ServerRecord {
  return {
    vm,
    report: undefined,
    isReported: false,
    sequence: 0,
    reportedName: "",
    versions: undefined,
    signals: NO_SIGNALS,
    lastCheckedAtMs: -Infinity,
    inFlightCount: 0,
    firstUsedAtMs: undefined,
    ...priors,
  };
}

/** Updates a server's health and latencies with the result of finished work. */
export function recordUse(
  record: ServerRecord,
  result: UseResult,
  options: BreakerOptions & { readonly expected: DurationEstimate },
): void {
  record.inFlightCount -= 1;
  if (result.verdict !== "neutral") {
    record.breaker = applyBreaker(record.breaker, result.verdict, options);
  }
  if (result.serviceMs !== undefined) {
    record.serviceMs += SERVICE_SMOOTHING_SHARE *
      (result.serviceMs - record.serviceMs);
  }
  const { expected, nowMs } = options;
  const [observedMs, expectedMs] = result.tokenMs === undefined
    ? [result.serviceMs, expected.serviceMs]
    : [result.tokenMs, expected.tokenMs];
  if (observedMs === undefined) return;
  record.slowness = addSlownessSample(record.slowness, {
    observedMs,
    expectedMs,
    nowMs,
  });
}

export interface ViewOptions {
  readonly drains: Drains;
  readonly expected: DurationEstimate;
  readonly nowMs: number;
}

/** Converts a record to the input of the route choice. */
export function toView(
  record: ServerRecord,
  { drains, expected, nowMs }: ViewOptions,
): ServerView {
  const { vm } = record;
  const ratio = slownessRatio(record.slowness, nowMs);
  const status = serverStatus(record.signals, {
    vm: vm.vm,
    place: vm.place,
    settings: { drainedPlaces: drains.places, drainedServers: drains.servers },
    nowMs,
  });
  return {
    server: vm.vm,
    place: vm.place,
    report: record.report,
    ownInFlightCount: record.inFlightCount,
    versions: record.versions,
    isTakingWork: vm.status === "live" && takesNewWork(status),
    breaker: record.breaker,
    firstTokenMs: expected.firstTokenMs * ratio,
    serviceMs: record.serviceMs,
    firstUsedAtMs: record.firstUsedAtMs,
  };
}
