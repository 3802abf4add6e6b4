/**
 * A retry budget: retries may be only a share of the requests, so that they
 * cannot multiply the load of an outage. A small floor lets a quiet process
 * retry at all.
 */
import { type Random } from "../model/mod.ts";

/** How much of the traffic may be retries. */
export interface RetryBudgetLimits {
  /** Retries earned by each request. */
  readonly retryShare: number;
  /** Retries earned by a second without requests. */
  readonly floorPerSecond: number;
  /** The most retries that may be saved up. */
  readonly burst: number;
}

/** The retries that may be spent now. */
export interface RetryBudget {
  readonly balance: number;
  readonly updatedAtMs: number;
}

/** The bounds of a pause before a retry. */
export interface RetryPauseOptions {
  /** Retries made before this one. */
  readonly attempt: number;
  readonly firstMs: number;
  readonly longestMs: number;
  readonly random: Random;
}

const MS_PER_SECOND = 1000;

/** Limits that hold the extra load of retries to a tenth. */
export const DEFAULT_RETRY_LIMITS: RetryBudgetLimits = {
  retryShare: 0.1,
  floorPerSecond: 1,
  burst: 20,
};

/** A full budget, for the start of a process. */
export function createRetryBudget(
  limits: RetryBudgetLimits,
  nowMs: number,
): RetryBudget {
  return { balance: limits.burst, updatedAtMs: nowMs };
}

/** The budget after one more first attempt. */
export function earnRetry(
  budget: RetryBudget,
  limits: RetryBudgetLimits,
): RetryBudget {
  const balance = Math.min(limits.burst, budget.balance + limits.retryShare);
  return { ...budget, balance };
}

/** The budget after a retry, or `undefined` when none may be spent. */
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

/** Full jitter: a uniform pause up to an exponentially growing bound. */
export function retryPauseMs(options: RetryPauseOptions): number {
  const boundMs = Math.min(
    options.longestMs,
    options.firstMs * 2 ** options.attempt,
  );
  return options.random() * boundMs;
}
