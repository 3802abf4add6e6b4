/** Figures of a run, as rows of a table. */
import { REQUEST_CLASSES, type RequestClass } from "../../src/model/mod.ts";
import { type RequestRecord, type SiteRunResult } from "./site_run.ts";
import { versionModel } from "./site.ts";

/** Quantiles of one class. */
export interface ClassStatistics {
  readonly requestClass: RequestClass;
  readonly count: number;
  readonly refusedShare: number;
  readonly firstTokenMs: readonly number[];
  readonly completionMs: readonly number[];
}

/** Figures of one run. */
export interface RunStatistics {
  readonly classes: readonly ClassStatistics[];
  readonly refusedShare: number;
  readonly reasons: string;
  readonly attemptsPerRequest: number;
  readonly priceMicroEurPerAnswer: number;
  readonly qualityShare: number;
}

const QUANTILES = [0.5, 0.95, 0.99];

/** Computes the figures of a run. */
export function statisticsOf(result: SiteRunResult): RunStatistics {
  const { records } = result;
  const answered = records.filter((one) => one.refusal === undefined);
  const reasons = new Map<string, number>();
  for (const { refusal } of records) {
    if (refusal === undefined) continue;
    const key = `${refusal.reason}/${refusal.outcome}`;
    reasons.set(key, (reasons.get(key) ?? 0) + 1);
  }
  return {
    classes: REQUEST_CLASSES.map((name) => classStatistics(name, records)),
    refusedShare: 1 - answered.length / Math.max(1, records.length),
    reasons: [...reasons].map(([key, count]) => `${key} ${count}`).join(", "),
    attemptsPerRequest: result.attemptCount / Math.max(1, records.length),
    priceMicroEurPerAnswer: result.priceMicroEur / Math.max(1, answered.length),
    qualityShare: qualityOf(answered),
  };
}

function classStatistics(
  requestClass: RequestClass,
  records: readonly RequestRecord[],
): ClassStatistics {
  const own = records.filter((one) => one.requestClass === requestClass);
  const answered = own.filter((one) => one.refusal === undefined);
  return {
    requestClass,
    count: own.length,
    refusedShare: 1 - answered.length / Math.max(1, own.length),
    firstTokenMs: quantiles(answered.map((one) => one.firstTokenMs ?? 0)),
    completionMs: quantiles(answered.map((one) => one.completionMs)),
  };
}

function quantiles(values: readonly number[]): number[] {
  const sorted = [...values].sort((a, b) => a - b);
  return QUANTILES.map((quantile) => {
    const index = Math.min(
      sorted.length - 1,
      Math.floor(quantile * sorted.length),
    );
    return Math.round(sorted[index] ?? 0);
  });
}

function qualityOf(records: readonly RequestRecord[]): number {
  let sum = 0;
  let count = 0;
  for (const { version, requestClass } of records) {
    if (version === undefined) continue;
    sum += versionModel(version).qualityShare[requestClass];
    count += 1;
  }
  return sum / Math.max(1, count);
}
