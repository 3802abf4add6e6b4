/** State of one VM's retry budget; the decision module has the rules. */
import {
  createRetryBudget,
  earnRetry,
  type RetryBudget,
  type RetryBudgetLimits,
  spendRetry,
} from "../decision/mod.ts";
import { type Clock } from "../model/mod.ts";

/** A budget to which each request adds a fraction of a retry. */
export class RetryGate {
  readonly #clock: Clock;
  readonly #limits: RetryBudgetLimits;
  #budget: RetryBudget;

  constructor(clock: Clock, limits: RetryBudgetLimits) {
    this.#clock = clock;
    this.#limits = limits;
    this.#budget = createRetryBudget(limits, clock());
  }

  /** Adds the fraction earned by a first attempt. */
  earn(): void {
    this.#budget = earnRetry(this.#budget, this.#limits);
  }

  /** Spends one retry; returns false if the budget is exhausted. */
  trySpend(): boolean {
    const options = { limits: this.#limits, nowMs: this.#clock() };
    const spent = spendRetry(this.#budget, options);
    if (spent === undefined) return false;
    this.#budget = spent;
    return true;
  }
}
