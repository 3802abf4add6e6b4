/**
 * Spend rate of a workspace and the resulting pressure on its budget. The
 * budget is a rate, so VMs need not exchange their current spend: each reads
 * the same totals from the records and smooths them on its own clock. Pressure
 * suppresses optional escalations; it never lowers the quality target.
 */

/** Exponentially smoothed spend rate of a workspace. */
export interface SpendRate {
  readonly totalMicroEur: number;
  readonly observedAtMs: number;
  readonly rateMicroEurPerHour: number;
}

/** Total spend of a workspace at one point in time. */
export interface SpendReading {
  readonly totalMicroEur: number;
  readonly nowMs: number;
}

const MS_PER_HOUR = 3_600_000;
const HALF_LIFE_MS = 300_000;
/** Share of the budget at which pressure begins. */
const PRESSURE_FROM_SHARE = 0.8;

/** Returns the rate after a reading; the first reading only sets the total. */
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
  const previousWeight = 2 ** (-elapsedMs / HALF_LIFE_MS);
  return {
    totalMicroEur,
    observedAtMs: nowMs,
    rateMicroEurPerHour: previousWeight * rate.rateMicroEurPerHour +
      (1 - previousWeight) * currentRate,
  };
}

/** Pressure from 0, well within the budget, to 1, at or above the budget. */
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
