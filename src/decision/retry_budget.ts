/**
 * A retry budget as a token bucket. Retries are limited to a share of the
 * requests, so that they don't multiply the load during an outage. A small rate
 * per second lets a process with little traffic retry too.
 */
import { type Random } from "../model/mod.ts";

export interface RetryBudgetLimits {
  /** Retries earned by each request. */
  readonly retryShare: number;
  /** Retries earned by each second, independent of requests. */
  readonly floorPerSecond: number;
  /** Largest balance of unused retries. */
  readonly burst: number;
}

/** The balance of unused retries; immutable. */
export interface RetryBudget {
  readonly balance: number;
  readonly updatedAtMs: number;
}

/** The bounds of the pause before a retry. */
export interface RetryPauseOptions {
  /** Number of earlier retries. */
  readonly attempt: number;
  readonly firstMs: number;
  readonly longestMs: number;
  readonly random: Random;
}

const MS_PER_SECOND = 1000;

/** Limits under which retries add about a tenth to the load. */
export const DEFAULT_RETRY_LIMITS: RetryBudgetLimits = {
  retryShare: 0.1,
  floorPerSecond: 1,
  burst: 20,
};

/** Creates a full budget, for the start of a process. */
export function createRetryBudget(
  limits: RetryBudgetLimits,
  nowMs: number,
): RetryBudget {
  return { balance: limits.burst, updatedAtMs: nowMs };
}

/** Returns the budget after a first attempt. */
export function earnRetry(
  budget: RetryBudget,
  limits: RetryBudgetLimits,
): RetryBudget {
  const balance = Math.min(limits.burst, budget.balance + limits.retryShare);
  return { ...budget, balance };
}

/** Returns the budget after a retry, or `undefined` if none is left. */
export function spendRetry(
  budget: RetryBudget,
  options: { readonly limits: RetryBudgetLimits; readonly nowMs: number },
): RetryBudget | undefined {
  const { limits, nowMs } = options;
  const elapsedMs = nowMs - budget.updatedAtMs;
  const earned = elapsedMs * limits.floorPerSecond / MS_PER_SECOND;
  const balance = Math.min(limits.burst, budget.balance + earned);
  if (balance < 1) return undefined;
  return { balance: balance - 1, updatedAtMs: nowMs };
}

/** Returns a pause with full jitter: uniform up to an exponential bound. */
export function retryPauseMs(options: RetryPauseOptions): number {
  const boundMs = Math.min(
    options.longestMs,
    options.firstMs * 2 ** options.attempt,
  );
  return options.random() * boundMs;
}
