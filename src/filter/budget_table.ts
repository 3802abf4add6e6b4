/** The spending rates of all workspaces, derived by one entry from the log. */
import {
  budgetPressure,
  observeSpend,
  type SpendRate,
} from "../decision/mod.ts";
import { type Clock, type SettingsPath } from "../model/mod.ts";
import { type Journal } from "../client/mod.ts";
import { type SettingsReader } from "./context.ts";

export interface BudgetTableOptions {
  readonly journal: Journal;
  readonly settings: SettingsReader;
  readonly clock: Clock;
}

/** Spending rates by workspace; the control state bounds their number. */
export class BudgetTable {
  readonly #options: BudgetTableOptions;
  #rates: ReadonlyMap<string, SpendRate> = new Map();

  constructor(options: BudgetTableOptions) {
    this.#options = options;
  }

  /** Updates the rates from the totals in the control state. */
  observe(): void {
    const nowMs = this.#options.clock();
    const rates = new Map<string, SpendRate>();
    for (const [workspace, spend] of this.#options.journal.control().spends) {
      const sample = { totalMicroEur: spend.priceMicroEur, nowMs };
      rates.set(workspace, observeSpend(this.#rates.get(workspace), sample));
    }
    this.#rates = rates;
  }

  /** Returns the budget pressure of a workspace, from 0 to 1. */
  pressureOf(workspace: SettingsPath): number {
    const { budgetMicroEurPerHour } = this.#options.settings(workspace);
    return budgetPressure(this.#rates.get(workspace), budgetMicroEurPerHour);
  }
}
