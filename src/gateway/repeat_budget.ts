/**
 * This VM's part of the fleet's budget for sending requests a second time, by
 * service. The platform bounds all VMs together; each VM keeps to a share of
 * that bound for its own requests and to its part of the fixed slack, so that
 * no VM has to ask another.
 */
import {
  createRetryBudget,
  earnRetry,
  type RetryBudget,
  type RetryBudgetLimits,
  spendRetry,
} from "../decision/mod.ts";
import { type Clock } from "../model/mod.ts";

/** The bound over all VMs. */
export interface FleetRepeatBound {
  /** Repeats for each first sending. */
  readonly ratio: number;
  /** Repeats beside those, in each window. */
  readonly slackCount: number;
  readonly windowMs: number;
}

/** Part of the ratio that is used; the rest covers the saved-up repeats. */
const RATIO_SHARE = 0.85;
/** This VM's part of the slack, saved up while nothing is repeated. */
const SLACK_SHARE = 0.9;

/** Repeats that this VM may still send. */
export class RepeatBudget {
  readonly #bound: FleetRepeatBound;
  readonly #clock: Clock;
  readonly #vmCount: () => number;
  readonly #byService = new Map<string, RetryBudget>();

  constructor(options: {
    readonly bound: FleetRepeatBound;
    readonly clock: Clock;
    readonly vmCount: () => number;
  }) {
    this.#bound = options.bound;
    this.#clock = options.clock;
    this.#vmCount = options.vmCount;
  }

  /** Counts a caller's request. */
  earn(service: string): void {
    const limits = this.#limits();
    const budget = this.#budgetOf(service, limits);
    this.#byService.set(service, earnRetry(budget, limits));
  }

  /** Takes one repeat, if `reserveCount` are left beside it. */
  spend(service: string, reserveCount = 0): boolean {
    const limits = this.#limits();
    const budget = this.#budgetOf(service, limits);
    if (reserveCount > 0 && budget.balance < reserveCount + 1) return false;
    const nowMs = this.#clock();
    const next = spendRetry(budget, { limits, nowMs });
    if (next === undefined) return false;
    this.#byService.set(service, next);
    return true;
  }

  #budgetOf(service: string, limits: RetryBudgetLimits): RetryBudget {
    return this.#byService.get(service) ??
      createRetryBudget(limits, this.#clock());
  }

  #limits(): RetryBudgetLimits {
    const { ratio, slackCount } = this.#bound;
    const slack = SLACK_SHARE * slackCount / Math.max(1, this.#vmCount());
    return {
      retryShare: ratio * RATIO_SHARE,
      floorPerSecond: 0,
      burst: Math.max(1, slack),
    };
  }
}
