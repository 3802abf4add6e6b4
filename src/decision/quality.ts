/**
 * Quality of each version for each request class. The `quality` records of all
 * VMs hold totals since the VM started. A table combines them with this VM's
 * own newer ratings and has two views: totals for the sequential tests, and
 * decayed sums for the choice of a version. In the decayed sums old ratings
 * lose weight as new ones arrive, so the estimates follow a version whose
 * quality changes. The catalogue's prior is added to each estimate.
 */
import { Map as PersistentMap } from "immutable";
import {
  type RequestClass,
  type Settings,
  type VersionName,
} from "../model/mod.ts";
import { type RecordOf } from "../state/mod.ts";
import {
  addScore,
  addSums,
  capSum,
  EMPTY_SUM,
  growthOf,
  meanOf,
  type RatingSum,
  varianceOf,
} from "./rating_sum.ts";

/** Largest weight of a decayed sum, in ratings. */
export const MAX_DECAYED_RATINGS = 1000;
/** Weight of the catalogue's prior, in ratings. */
export const PRIOR_RATINGS = 32;
/** Standard deviation of scores in the prior. */
export const PRIOR_DEVIATION_SHARE = 0.2;
/** One-sided 95 % quantile of the normal distribution. */
export const CONFIDENCE_QUANTILE = 1.645;
/** Prior mean of a version that is not in the catalogue. */
export const UNLISTED_PRIOR_SHARE = 0;

/** Estimated quality of a version for one request class. */
export interface QualityEstimate {
  /** Weight of the decayed ratings, without the prior. */
  readonly ratingCount: number;
  readonly meanShare: number;
  readonly deviationShare: number;
  /** Lower confidence bound of the mean. */
  readonly lowerBoundShare: number;
}

/** This VM's own ratings since it started, for its `quality` records. */
export class OwnRatings {
  readonly #sums: PersistentMap<string, OwnSum>;

  private constructor(sums: PersistentMap<string, OwnSum>) {
    this.#sums = sums;
  }

  static readonly empty: OwnRatings = new OwnRatings(PersistentMap());

  /** Restores the totals from the records that this VM wrote earlier. */
  static resume(
    records: Iterable<RecordOf<"quality">>,
    vm: string,
  ): OwnRatings {
    let sums = PersistentMap<string, OwnSum>();
    for (const record of records) {
      if (record.vm !== vm) continue;
      const { version, requestClass } = record;
      const key = sumKey(version, requestClass);
      sums = sums.set(key, { version, requestClass, sum: sumOf(record) });
    }
    return new OwnRatings(sums);
  }

  /** Returns the ratings with one more. */
  add(rating: Rating): OwnRatings {
    const { version, requestClass, scoreShare } = rating;
    const key = sumKey(version, requestClass);
    const before = this.#sums.get(key)?.sum ?? EMPTY_SUM;
    const sum = addScore(before, scoreShare);
    return new OwnRatings(
      this.#sums.set(key, { version, requestClass, sum }),
    );
  }

  /** Totals by version and class. */
  sums(): Iterable<OwnSum> {
    return this.#sums.values();
  }
}

/** One rated answer. */
export interface Rating {
  readonly version: VersionName;
  readonly requestClass: RequestClass;
  readonly scoreShare: number;
}

/** Total of one version and class on this VM. */
export interface OwnSum {
  readonly version: VersionName;
  readonly requestClass: RequestClass;
  readonly sum: RatingSum;
}

/** Inputs of a table refresh. */
export interface QualitySources {
  /** `ControlState.quality`. */
  readonly records: PersistentMap<string, RecordOf<"quality">>;
  readonly ownRatings: OwnRatings;
  /** Id of this VM, whose records are superseded by `ownRatings`. */
  readonly vm: string;
}

/** Immutable table of the quality of all versions and classes. */
export class QualityTable {
  readonly #totals: ReadonlyMap<string, RatingSum>;
  readonly #decayed: ReadonlyMap<string, RatingSum>;

  private constructor(
    totals: ReadonlyMap<string, RatingSum>,
    decayed: ReadonlyMap<string, RatingSum>,
  ) {
    this.#totals = totals;
    this.#decayed = decayed;
  }

  static readonly empty: QualityTable = new QualityTable(new Map(), new Map());

  /** Recomputes the totals and adds their growth to the decayed sums. */
  refresh(sources: QualitySources): QualityTable {
    const totals = totalsOf(sources);
    const decayed = new Map<string, RatingSum>();
    for (const [key, total] of totals) {
      const growth = growthOf(total, this.#totals.get(key) ?? EMPTY_SUM);
      decayed.set(key, decay(this.#decayed.get(key) ?? EMPTY_SUM, growth));
    }
    return new QualityTable(totals, decayed);
  }

  /** Undecayed sum of all ratings, for the sequential tests. */
  totalSumOf(version: VersionName, requestClass: RequestClass): RatingSum {
    return this.#totals.get(sumKey(version, requestClass)) ?? EMPTY_SUM;
  }

  /** Decayed sum of ratings, without the prior. */
  decayedSumOf(version: VersionName, requestClass: RequestClass): RatingSum {
    return this.#decayed.get(sumKey(version, requestClass)) ?? EMPTY_SUM;
  }

  /** Estimate from the decayed sum and the catalogue's prior. */
  estimateOf(
    version: VersionName,
    options: {
      readonly requestClass: RequestClass;
      readonly settings: Settings;
    },
  ): QualityEstimate {
    const rated = this.decayedSumOf(version, options.requestClass);
    const sum = addSums(rated, priorOf(options.settings, version));
    const deviationShare = Math.sqrt(varianceOf(sum));
    const meanShare = meanOf(sum);
    const marginShare = CONFIDENCE_QUANTILE * deviationShare /
      Math.sqrt(sum.count);
    return {
      ratingCount: rated.count,
      meanShare,
      deviationShare,
      lowerBoundShare: Math.max(0, meanShare - marginShare),
    };
  }
}

function totalsOf(sources: QualitySources): Map<string, RatingSum> {
  const totals = new Map<string, RatingSum>();
  const add = (key: string, sum: RatingSum): void => {
    totals.set(key, addSums(totals.get(key) ?? EMPTY_SUM, sum));
  };
  for (const record of sources.records.values()) {
    if (record.vm === sources.vm) continue;
    add(sumKey(record.version, record.requestClass), sumOf(record));
  }
  for (const { version, requestClass, sum } of sources.ownRatings.sums()) {
    add(sumKey(version, requestClass), sum);
  }
  return totals;
}

function decay(decayed: RatingSum, growth: RatingSum): RatingSum {
  const fresh = capSum(growth, MAX_DECAYED_RATINGS);
  return addSums(capSum(decayed, MAX_DECAYED_RATINGS - fresh.count), fresh);
}

/** The catalogue's prior of a version, as a sum of `PRIOR_RATINGS` ratings. */
export function priorOf(settings: Settings, version: VersionName): RatingSum {
  const entry = settings.catalogue.find((item) => item.version === version);
  const mean = entry?.priorQualityShare ?? UNLISTED_PRIOR_SHARE;
  const square = mean * mean + PRIOR_DEVIATION_SHARE * PRIOR_DEVIATION_SHARE;
  return {
    count: PRIOR_RATINGS,
    scoreSum: mean * PRIOR_RATINGS,
    scoreSquareSum: square * PRIOR_RATINGS,
  };
}

function sumOf(record: RecordOf<"quality">): RatingSum {
  const { count, scoreSum, scoreSquareSum } = record;
  return { count, scoreSum, scoreSquareSum };
}

function sumKey(version: VersionName, requestClass: RequestClass): string {
  return `${version} ${requestClass}`;
}
