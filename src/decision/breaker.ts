/**
 * A circuit breaker for one backend server. It opens after consecutive failures
 * and then admits one probe at a time, after a pause that doubles with each
 * failed probe.
 */

export interface BreakerState {
  readonly phase: "closed" | "open" | "half_open";
  readonly consecutiveFailures: number;
  /** Length of the latest pause. */
  readonly pauseMs: number;
  /** End of the pause, on this process's clock. */
  readonly openUntilMs: number;
}

/** Failures that open a breaker, and the range of its pauses. */
export interface BreakerLimits {
  readonly failuresToOpen: number;
  readonly firstPauseMs: number;
  readonly longestPauseMs: number;
}

/** Outcomes at the server, and the start of a probe. */
export type BreakerEvent = "success" | "failure" | "probe_sent";

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

/** The initial state: every request passes. */
export const CLOSED_BREAKER: BreakerState = {
  phase: "closed",
  consecutiveFailures: 0,
  pauseMs: 0,
  openUntilMs: 0,
};

/** Whether a request may be sent now; after the pause, one probe at a time. */
export function isBreakerPassing(state: BreakerState, nowMs: number): boolean {
  return state.phase === "closed" || nowMs >= state.openUntilMs;
}

/** Returns the breaker after an event. */
export function applyBreaker(
  state: BreakerState,
  event: BreakerEvent,
  options: BreakerOptions,
): BreakerState {
  if (event === "success") return CLOSED_BREAKER;
  if (event === "failure") return applyFailure(state, options);
  if (state.phase === "closed") return state;
  return {
    ...state,
    phase: "half_open",
    openUntilMs: options.nowMs + state.pauseMs,
  };
}

function applyFailure(
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
