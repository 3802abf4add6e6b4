/** What a directory keeps of one backend server, and how a use changes it. */
import {
  addLatency,
  applyBreaker,
  type BreakerOptions,
  type BreakerState,
  type LatencyEstimate,
  type LoadReport,
  type ServerView,
} from "../decision/mod.ts";
import { type VersionName, type Vm } from "../model/mod.ts";
import { type Drains } from "./server_directory.ts";

/** One backend server; changed in place by its directory. */
export interface ServerRecord {
  vm: Vm;
  report: LoadReport | undefined;
  isReported: boolean;
  sequence: number;
  reportedAs: string;
  versions: ReadonlySet<VersionName> | undefined;
  isLeaving: boolean;
  /** When it last reported, or was last asked in vain. */
  askedAtMs: number;
  inFlightCount: number;
  breaker: BreakerState;
  firstToken: LatencyEstimate;
  service: LatencyEstimate;
  firstUsedAtMs: number | undefined;
}

/** How a use of a server ended. */
export interface UseResult {
  /** `neutral` says nothing of the server's health, as a cancelled call. */
  readonly verdict: "success" | "failure" | "neutral";
  readonly firstTokenMs: number | undefined;
  readonly serviceMs: number | undefined;
}

/** The estimates that a new server starts with. */
export type ServerPriors = Pick<
  ServerRecord,
  "breaker" | "firstToken" | "service"
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
    reportedAs: "",
    versions: undefined,
    isLeaving: false,
    askedAtMs: -Infinity,
    inFlightCount: 0,
    firstUsedAtMs: undefined,
    ...priors,
  };
}

/** Applies the end of a use. */
export function noteUse(
  record: ServerRecord,
  result: UseResult,
  options: BreakerOptions,
): void {
  record.inFlightCount -= 1;
  if (result.verdict !== "neutral") {
    record.breaker = applyBreaker(record.breaker, result.verdict, options);
  }
  if (result.firstTokenMs !== undefined) {
    record.firstToken = addLatency(record.firstToken, result.firstTokenMs);
  }
  if (result.serviceMs !== undefined) {
    record.service = addLatency(record.service, result.serviceMs);
  }
}

/** The server as the route choice sees it. */
export function toView(record: ServerRecord, drains: Drains): ServerView {
  const { vm } = record;
  const isDrained = drains.places.includes(vm.place) ||
    drains.servers.includes(vm.vm);
  return {
    server: vm.vm,
    place: vm.place,
    report: record.report,
    ownInFlightCount: record.inFlightCount,
    versions: record.versions,
    isTakingWork: vm.status === "live" && !record.isLeaving && !isDrained,
    breaker: record.breaker,
    firstToken: record.firstToken,
    service: record.service,
    firstUsedAtMs: record.firstUsedAtMs,
  };
}
