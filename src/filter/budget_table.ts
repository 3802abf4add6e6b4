/** The spending rates of all workspaces, as one entry reads them from records. */
import {
  budgetPressure,
  observeSpend,
  type SpendRate,
} from "../decision/mod.ts";
import { type Clock, type SettingsPath } from "../model/mod.ts";
import { type Journal } from "../client/mod.ts";
import { type SettingsReader } from "./context.ts";

/** What a table works with. */
export interface BudgetTableOptions {
  readonly journal: Journal;
  readonly settings: SettingsReader;
  readonly clock: Clock;
}

/** Keeps the spending rates; bounded by the control state's own bound. */
export class BudgetTable {
  readonly #options: BudgetTableOptions;
  #rates: ReadonlyMap<string, SpendRate> = new Map();

  constructor(options: BudgetTableOptions) {
    this.#options = options;
  }

  /** Reads the totals again. */
  observe(): void {
    const nowMs = this.#options.clock();
    const rates = new Map<string, SpendRate>();
    for (const [workspace, spend] of this.#options.journal.control().spends) {
      const reading = { totalMicroEur: spend.priceMicroEur, nowMs };
      rates.set(workspace, observeSpend(this.#rates.get(workspace), reading));
    }
    this.#rates = rates;
  }

  /** How hard a workspace's spending presses on its budget, from 0 to 1. */
  pressureOf(workspace: SettingsPath): number {
    const { budgetMicroEurPerHour } = this.#options.settings(workspace);
    return budgetPressure(this.#rates.get(workspace), budgetMicroEurPerHour);
  }
}
