/** What a directory keeps of one backend server, and how a use changes it. */
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

/** One backend server; changed in place by its directory. */
export interface ServerRecord {
  vm: Vm;
  report: LoadReport | undefined;
  isReported: boolean;
  sequence: number;
  reportedName: string;
  versions: ReadonlySet<VersionName> | undefined;
  signs: ServerSignals;
  /** When it last reported, or was last asked in vain. */
  lastCheckedAtMs: number;
  inFlightCount: number;
  breaker: BreakerState;
  slowness: Slowness;
  /** Smoothed time that a request holds a slot, over its own mix of work. */
  serviceMs: number;
  firstUsedAtMs: number | undefined;
}

/** How a use of a server ended. */
export interface UseResult extends DurationSample {
  /** `neutral` says nothing of the server's health, as a cancelled call. */
  readonly verdict: "success" | "failure" | "neutral";
}

/** The estimates that a new server starts with. */
export type ServerPriors = Pick<
  ServerRecord,
  "breaker" | "slowness" | "serviceMs"
>;

/** A server of which nothing is known yet. */
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
    signs: NO_SIGNALS,
    lastCheckedAtMs: -Infinity,
    inFlightCount: 0,
    firstUsedAtMs: undefined,
    ...priors,
  };
}

/** Applies the end of a use. */
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

/** What a view is made with. */
export interface ViewOptions {
  readonly drains: Drains;
  readonly expected: DurationEstimate;
  readonly nowMs: number;
}

/** The server as the route choice sees it. */
export function toView(
  record: ServerRecord,
  { drains, expected, nowMs }: ViewOptions,
): ServerView {
  const { vm } = record;
  const ratio = slownessRatio(record.slowness, nowMs);
  const status = serverStatus(record.signs, {
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
