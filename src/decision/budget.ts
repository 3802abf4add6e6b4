/**
 * Budgets: how fast a workspace spends, and how hard that presses on its budget.
 * The budget is a rate, so no VM has to know what the others spend now: each
 * reads the same totals from the records and smooths them by its own clock.
 * Pressure gives up optional escalations, never the quality target.
 */

/** A workspace's smoothed rate of spending. */
export interface SpendRate {
  readonly totalMicroEur: number;
  readonly observedAtMs: number;
  readonly rateMicroEurPerHour: number;
}

/** One reading of a workspace's total. */
export interface SpendReading {
  readonly totalMicroEur: number;
  readonly nowMs: number;
}

const MS_PER_HOUR = 3_600_000;
const HALF_LIFE_MS = 300_000;
/** Share of the budget at which pressure begins. */
const PRESSURE_FROM_SHARE = 0.8;

/** The rate after one more reading; the first one only sets the total. */
export function observeSpend(
  rate: SpendRate | undefined,
  { totalMicroEur, nowMs }: SpendReading,
): SpendRate {
  if (rate === undefined) {
    return { totalMicroEur, observedAtMs: nowMs, rateMicroEurPerHour: 0 };
  }
  const elapsedMs = nowMs - rate.observedAtMs;
  if (elapsedMs <= 0) return rate;
  const spentMicroEur = Math.max(0, totalMicroEur - rate.totalMicroEur);
  const currentRate = spentMicroEur * MS_PER_HOUR / elapsedMs;
  const keptShare = 2 ** (-elapsedMs / HALF_LIFE_MS);
  return {
    totalMicroEur,
    observedAtMs: nowMs,
    rateMicroEurPerHour: keptShare * rate.rateMicroEurPerHour +
      (1 - keptShare) * currentRate,
  };
}

/** Pressure from 0, well within the budget, to 1, at the budget or over it. */
export function budgetPressure(
  rate: SpendRate | undefined,
  budgetMicroEurPerHour: number,
): number {
  if (rate === undefined) return 0;
  const usedShare = rate.rateMicroEurPerHour /
    Math.max(1, budgetMicroEurPerHour);
  const pressure = (usedShare - PRESSURE_FROM_SHARE) /
    (1 - PRESSURE_FROM_SHARE);
  return Math.min(1, Math.max(0, pressure));
}
