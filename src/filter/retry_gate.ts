/** The retry budget of one VM, over the pure decision. */
import {
  createRetryBudget,
  earnRetry,
  type RetryBudget,
  type RetryBudgetLimits,
  spendRetry,
} from "../decision/mod.ts";
import { type Clock } from "../model/mod.ts";

/** Earns a share of a retry with each request and spends whole ones. */
export class RetryGate {
  readonly #clock: Clock;
  readonly #limits: RetryBudgetLimits;
  #budget: RetryBudget;

  constructor(clock: Clock, limits: RetryBudgetLimits) {
    this.#clock = clock;
    this.#limits = limits;
    this.#budget = createRetryBudget(limits, clock());
  }

  /** Counts a first attempt. */
  earn(): void {
    this.#budget = earnRetry(this.#budget, this.#limits);
  }

  /** Whether one more retry may be made. */
  trySpend(): boolean {
    const options = { limits: this.#limits, nowMs: this.#clock() };
    const spent = spendRetry(this.#budget, options);
    if (spent === undefined) return false;
    this.#budget = spent;
    return true;
  }
}
