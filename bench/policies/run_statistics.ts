/** Statistics of a run, by request class and in total. */
import { REQUEST_CLASSES, type RequestClass } from "../../src/model/mod.ts";
import { type RequestRecord, type SiteRunResult } from "./site_run.ts";
import { versionModel } from "./site.ts";

/** Statistics of one class; latencies are the 0.5, 0.95 and 0.99 quantiles. */
export interface ClassStatistics {
  readonly requestClass: RequestClass;
  readonly count: number;
  readonly refusedShare: number;
  readonly firstTokenMs: readonly number[];
  readonly completionMs: readonly number[];
}

export interface RunStatistics {
  readonly classes: readonly ClassStatistics[];
  readonly refusedShare: number;
  /** Refusal reasons with outcome and count, separated by commas. */
  readonly reasons: string;
  readonly attemptsPerRequest: number;
  readonly priceMicroEurPerAnswer: number;
  readonly qualityShare: number;
}

const QUANTILES = [0.5, 0.95, 0.99];

export function statisticsOf(result: SiteRunResult): RunStatistics {
  const { records } = result;
  const answered = records.filter((record) => record.refusal === undefined);
  const reasons = new Map<string, number>();
  for (const { refusal } of records) {
    if (refusal === undefined) continue;
    const key = `${refusal.reason}/${refusal.outcome}`;
    reasons.set(key, (reasons.get(key) ?? 0) + 1);
  }
  return {
    classes: REQUEST_CLASSES.map((requestClass) =>
      classStatistics(requestClass, records)
    ),
    refusedShare: 1 - answered.length / Math.max(1, records.length),
    reasons: [...reasons].map(([key, count]) => `${key} ${count}`).join(", "),
    attemptsPerRequest: result.attemptCount / Math.max(1, records.length),
    priceMicroEurPerAnswer: result.priceMicroEur / Math.max(1, answered.length),
    qualityShare: meanQualityOf(answered),
  };
}

function classStatistics(
  requestClass: RequestClass,
  records: readonly RequestRecord[],
): ClassStatistics {
  const classRecords = records.filter((record) =>
    record.requestClass === requestClass
  );
  const answered = classRecords.filter((record) =>
    record.refusal === undefined
  );
  return {
    requestClass,
    count: classRecords.length,
    refusedShare: 1 - answered.length / Math.max(1, classRecords.length),
    firstTokenMs: quantiles(answered.map((record) => record.firstTokenMs ?? 0)),
    completionMs: quantiles(answered.map((record) => record.completionMs)),
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

/** Returns the mean actual quality of the answering versions. */
function meanQualityOf(records: readonly RequestRecord[]): number {
  let sum = 0;
  let count = 0;
  for (const { version, requestClass } of records) {
    if (version === undefined) continue;
    sum += versionModel(version).qualityShare[requestClass];
    count += 1;
  }
  return sum / Math.max(1, count);
}
