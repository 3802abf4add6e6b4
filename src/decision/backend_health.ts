/**
 * Health of one backend server, measured from this VM's own requests. A
 * decaying failure share detects servers that fail part of their requests while
 * they report good health; a circuit breaker detects servers that are down or
 * silent.
 */
import {
  applyBreaker,
  type BreakerLimits,
  type BreakerState,
  CLOSED_BREAKER,
  isBreakerPassing,
} from "./breaker.ts";

/** Half-life of past outcomes. */
const HALF_LIFE_MS = 6000;
/** Weight, in requests, of the prior that a server fails nothing. */
const PRIOR_REQUESTS = 4;

/** Breaker limits for broken answers, which need not mean an outage. */
const BROKEN_LIMITS: BreakerLimits = {
  failuresToOpen: 3,
  firstPauseMs: 500,
  longestPauseMs: 4000,
};
/** Breaker limits for refused or silent connections: one opens it. */
const DOWN_LIMITS: BreakerLimits = { ...BROKEN_LIMITS, failuresToOpen: 1 };

/** Decayed counts of outcomes, and the breaker; immutable. */
export interface BackendHealth {
  readonly failureWeight: number;
  readonly totalWeight: number;
  readonly updatedAtMs: number;
  readonly breaker: BreakerState;
}

/** Outcomes of requests to a server, and the start of a probe. */
export type HealthEvent =
  | "success"
  /** The server answered with an error of its own. */
  | "error"
  /** The answer broke off or came from another process. */
  | "broken"
  /** Connecting failed, or the connection stayed silent. */
  | "down"
  /** The server refused for lack of capacity. */
  | "full"
  /** A request was sent although the breaker is open. */
  | "probe_sent";

/** Health of a server without any outcome yet. */
export const UNKNOWN_HEALTH: BackendHealth = {
  failureWeight: 0,
  totalWeight: 0,
  updatedAtMs: 0,
  breaker: CLOSED_BREAKER,
};

/** Returns the health after an event; `full` changes nothing. */
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
  const decay = decayFactor(health, nowMs);
  const isFailure = event !== "success";
  return {
    failureWeight: health.failureWeight * decay + (isFailure ? 1 : 0),
    totalWeight: health.totalWeight * decay + 1,
    updatedAtMs: nowMs,
    breaker: updateBreaker(health.breaker, event, nowMs),
  };
}

/** Expected share of requests that the server fails. */
export function failureShareOf(health: BackendHealth, nowMs: number): number {
  const decay = decayFactor(health, nowMs);
  return health.failureWeight * decay /
    (health.totalWeight * decay + PRIOR_REQUESTS);
}

/** Whether new requests may go to the server. */
export function isPassing(health: BackendHealth, nowMs: number): boolean {
  return isBreakerPassing(health.breaker, nowMs);
}

/** Whether the next request is a probe of a server that was down. */
export function isProbeNeeded(health: BackendHealth): boolean {
  return health.breaker.phase !== "closed";
}

function updateBreaker(
  breaker: BreakerState,
  event: "success" | "error" | "broken" | "down",
  nowMs: number,
): BreakerState {
  if (event === "success" || event === "error") {
    return applyBreaker(breaker, "success", { nowMs, limits: BROKEN_LIMITS });
  }
  const limits = event === "down" ? DOWN_LIMITS : BROKEN_LIMITS;
  return applyBreaker(breaker, "failure", { nowMs, limits });
}

function decayFactor(health: BackendHealth, nowMs: number): number {
  return 0.5 ** ((nowMs - health.updatedAtMs) / HALF_LIFE_MS);
}
