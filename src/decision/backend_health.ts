/**
 * What this VM's own requests say of one backend server: a decaying share of
 * failures, for servers that fail a part of their requests while they report
 * good health, and a breaker, for those that are down or silent.
 */
import {
  applyBreaker,
  type BreakerLimits,
  type BreakerState,
  CLOSED_BREAKER,
  isBreakerPassing,
} from "./breaker.ts";

/** Half of what was seen is forgotten in this time. */
const HALF_LIFE_MS = 6000;
/** Weight of the assumption that a server fails nothing, in requests. */
const PRIOR_REQUESTS = 4;

/** Pauses after failures that leave a server in doubt. */
const DOUBT_LIMITS: BreakerLimits = {
  failuresToOpen: 3,
  firstPauseMs: 500,
  longestPauseMs: 4000,
};
/** Pauses after a refused or silent connection: one is enough. */
const DOWN_LIMITS: BreakerLimits = { ...DOUBT_LIMITS, failuresToOpen: 1 };

/** The health of one server as seen by one VM. */
export interface BackendHealth {
  readonly failureWeight: number;
  readonly totalWeight: number;
  readonly updatedAtMs: number;
  readonly breaker: BreakerState;
}

/** How a request to a server ended. */
export type HealthEvent =
  | "success"
  /** It answered with a failure of its own. */
  | "error"
  /** Its answer broke off or was not its own. */
  | "broken"
  /** No connection, or no sign of life on one. */
  | "down"
  /** It said that it had no room. */
  | "full"
  /** A request is sent although the breaker is open. */
  | "probe_sent";

/** A server of which nothing has been seen. */
export const UNKNOWN_HEALTH: BackendHealth = {
  failureWeight: 0,
  totalWeight: 0,
  updatedAtMs: 0,
  breaker: CLOSED_BREAKER,
};

/** The health after an event. */
export function applyHealth(
  health: BackendHealth,
  event: HealthEvent,
  nowMs: number,
): BackendHealth {
  if (event === "full") return health;
  if (event === "probe_sent") {
    const options = { nowMs, limits: DOWN_LIMITS };
    return { ...health, breaker: applyBreaker(health.breaker, event, options) };
  }
  const keptShare = keptShareOf(health, nowMs);
  const isFailure = event !== "success";
  return {
    failureWeight: health.failureWeight * keptShare + (isFailure ? 1 : 0),
    totalWeight: health.totalWeight * keptShare + 1,
    updatedAtMs: nowMs,
    breaker: breakerAfter(health.breaker, event, nowMs),
  };
}

/** The share of requests that the server is expected to fail. */
export function failureShareOf(health: BackendHealth, nowMs: number): number {
  const keptShare = keptShareOf(health, nowMs);
  return health.failureWeight * keptShare /
    (health.totalWeight * keptShare + PRIOR_REQUESTS);
}

/** Whether new requests may go to the server. */
export function isPassing(health: BackendHealth, nowMs: number): boolean {
  return isBreakerPassing(health.breaker, nowMs);
}

/** Whether a request would be the test of a server that was down. */
export function isProbeNeeded(health: BackendHealth): boolean {
  return health.breaker.phase !== "closed";
}

function breakerAfter(
  breaker: BreakerState,
  event: "success" | "error" | "broken" | "down",
  nowMs: number,
): BreakerState {
  if (event === "success" || event === "error") {
    return applyBreaker(breaker, "success", { nowMs, limits: DOUBT_LIMITS });
  }
  const limits = event === "down" ? DOWN_LIMITS : DOUBT_LIMITS;
  return applyBreaker(breaker, "failure", { nowMs, limits });
}

function keptShareOf(health: BackendHealth, nowMs: number): number {
  return 0.5 ** ((nowMs - health.updatedAtMs) / HALF_LIFE_MS);
}
