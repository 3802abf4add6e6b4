/**
 * Decides whether a backend server receives new work. Any one of four signals
 * stops new work: the platform's VM list, a drain by an operator, the server's
 * own report (its load report or a 410 answer), and failed probes. The VM list
 * lags and may flap, so a leaving signal holds for some time after it was last
 * observed, and "live" in the list never overrides a server that reports that
 * it is leaving. No status affects running work.
 */
import { type Vm } from "../model/mod.ts";

/** How long a leaving signal holds after it was last observed. */
export const LEAVING_HOLD_MS = 15_000;
/** Consecutive failed probes that make a server unreachable. */
export const FAILED_PROBES_LIMIT = 2;
/** Maximum time from the first signal to no new work; sets poll intervals. */
export const NO_NEW_WORK_WITHIN_MS = 3_000;

/** Only a `serving` server receives new work; the others state the reason. */
export type ServerStatus = "serving" | "drained" | "leaving" | "unreachable";

/** The signals observed for one server; immutable. */
export interface ServerSignals {
  /** When the VM list last had the server as leaving or did not contain it. */
  readonly listLeavingAtMs: number | undefined;
  /** When the server last reported that it is leaving. */
  readonly reportedLeavingAtMs: number | undefined;
  /** When the server last reported that it is not leaving. */
  readonly reportedServingAtMs: number | undefined;
  readonly failedProbeCount: number;
}

/** The state of a server before any signal. */
export const NO_SIGNALS: ServerSignals = {
  listLeavingAtMs: undefined,
  reportedLeavingAtMs: undefined,
  reportedServingAtMs: undefined,
  failedProbeCount: 0,
};

/** One observation of a server; `own_word` is its own report. */
export type ServerSignal =
  | { readonly kind: "list"; readonly status: Vm["status"] | "absent" }
  | { readonly kind: "own_word"; readonly isLeaving: boolean }
  | { readonly kind: "probe"; readonly isAnswered: boolean };

/** Returns the signals including a new one. */
export function recordSignal(
  signals: ServerSignals,
  signal: ServerSignal,
  nowMs: number,
): ServerSignals {
  switch (signal.kind) {
    case "list":
      if (signal.status === "live") return signals;
      return { ...signals, listLeavingAtMs: nowMs };
    case "own_word":
      return signal.isLeaving
        ? { ...signals, reportedLeavingAtMs: nowMs }
        : { ...signals, reportedServingAtMs: nowMs };
    case "probe":
      return {
        ...signals,
        failedProbeCount: signal.isAnswered ? 0 : signals.failedProbeCount + 1,
      };
  }
}

/** The server, the operators' drains and the time of a status. */
export interface StatusOptions {
  readonly vm: string;
  readonly place: string;
  /** Drains set by operators, from the root of the settings tree. */
  readonly settings: {
    readonly drainedPlaces: readonly string[];
    readonly drainedServers: readonly string[];
  };
  readonly nowMs: number;
}

/** Returns the status of a server from its signals and the drains. */
export function serverStatus(
  signals: ServerSignals,
  options: StatusOptions,
): ServerStatus {
  const { settings, vm, place, nowMs } = options;
  if (settings.drainedServers.includes(vm)) return "drained";
  if (settings.drainedPlaces.includes(place)) return "drained";
  if (isLeavingByOwnReport(signals, nowMs)) return "leaving";
  if (isWithinHold(signals.listLeavingAtMs, nowMs)) return "leaving";
  if (signals.failedProbeCount >= FAILED_PROBES_LIMIT) return "unreachable";
  return "serving";
}

export function takesNewWork(status: ServerStatus): boolean {
  return status === "serving";
}

/**
 * A leaving report is in force for at least `LEAVING_HOLD_MS`, and until the
 * server later reports that it is not leaving.
 */
function isLeavingByOwnReport(signals: ServerSignals, nowMs: number): boolean {
  if (signals.reportedLeavingAtMs === undefined) return false;
  if (isWithinHold(signals.reportedLeavingAtMs, nowMs)) return true;
  return signals.reportedLeavingAtMs >=
    (signals.reportedServingAtMs ?? -Infinity);
}

function isWithinHold(
  observedAtMs: number | undefined,
  nowMs: number,
): boolean {
  return observedAtMs !== undefined && nowMs - observedAtMs < LEAVING_HOLD_MS;
}
