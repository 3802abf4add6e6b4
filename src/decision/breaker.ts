/**
 * A circuit breaker for one backend server. It opens after consecutive failures
 * and then lets one probe through at a time, after a pause that doubles with
 * each failed probe.
 */

/** The state of one breaker. */
export interface BreakerState {
  readonly phase: "closed" | "open" | "half_open";
  readonly consecutiveFailures: number;
  /** Length of the newest pause. */
  readonly pauseMs: number;
  /** End of the pause, on this process's clock. */
  readonly openUntilMs: number;
}

/** When a breaker opens and for how long. */
export interface BreakerLimits {
  readonly failuresToOpen: number;
  readonly firstPauseMs: number;
  readonly longestPauseMs: number;
}

/** What happened on the server. */
export type BreakerEvent = "success" | "failure" | "probe_sent";

/** The time of an event and the limits that apply to it. */
export interface BreakerOptions {
  readonly nowMs: number;
  readonly limits: BreakerLimits;
}

/** Limits that suit a request/response server. */
export const DEFAULT_BREAKER_LIMITS: BreakerLimits = {
  failuresToOpen: 3,
  firstPauseMs: 1000,
  longestPauseMs: 30_000,
};

/** A breaker that lets everything through. */
export const CLOSED_BREAKER: BreakerState = {
  phase: "closed",
  consecutiveFailures: 0,
  pauseMs: 0,
  openUntilMs: 0,
};

/** Whether a request may be sent now; after a pause, one probe at a time. */
export function isBreakerPassing(state: BreakerState, nowMs: number): boolean {
  return state.phase === "closed" || nowMs >= state.openUntilMs;
}

/** The breaker after an event. */
export function applyBreaker(
  state: BreakerState,
  event: BreakerEvent,
  options: BreakerOptions,
): BreakerState {
  if (event === "success") return CLOSED_BREAKER;
  if (event === "failure") return afterFailure(state, options);
  if (state.phase === "closed") return state;
  return {
    ...state,
    phase: "half_open",
    openUntilMs: options.nowMs + state.pauseMs,
  };
}

function afterFailure(
  state: BreakerState,
  options: BreakerOptions,
): BreakerState {
  const { nowMs, limits } = options;
  const consecutiveFailures = state.consecutiveFailures + 1;
  if (consecutiveFailures < limits.failuresToOpen) {
    return { ...state, consecutiveFailures };
  }
  const pauseMs = state.phase === "closed"
    ? limits.firstPauseMs
    : Math.min(limits.longestPauseMs, state.pauseMs * 2);
  return {
    phase: "open",
    consecutiveFailures,
    pauseMs,
    openUntilMs: nowMs + pauseMs,
  };
}
