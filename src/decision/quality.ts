/**
 * What is known of the quality of each version for each class of request. The
 * `quality` records of all VMs hold totals since the VM started; a table reads
 * them, adds this VM's own newer ratings, and keeps two views: totals for the
 * sequential tests and aged figures for the choice of a version. Old ratings
 * lose weight as new ones arrive, so that the figures follow a version that
 * changes. Without ratings the catalogue's prior stands in for them.
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

/** The most ratings that the aged figure of a version and class remembers. */
export const MAX_DECAYED_RATINGS = 1000;
/** The weight of the catalogue's prior, in ratings. */
export const PRIOR_RATINGS = 32;
/** Standard deviation of scores that the prior assumes. */
export const PRIOR_DEVIATION_SHARE = 0.2;
/** One-sided 95 % quantile of the normal distribution. */
export const CONFIDENCE_QUANTILE = 1.645;
/** Prior of a version that the catalogue does not list. */
export const UNLISTED_PRIOR_SHARE = 0;

/** A version's quality for one class. */
export interface QualityEstimate {
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

  /** No ratings. */
  static readonly empty: OwnRatings = new OwnRatings(PersistentMap());

  /** Goes on from the records that this VM wrote before a restart. */
  static resume(
    records: Iterable<RecordOf<"quality">>,
    vm: string,
  ): OwnRatings {
    let sums = PersistentMap<string, OwnSum>();
    for (const record of records) {
      if (record.vm !== vm) continue;
      const { version, requestClass } = record;
      const key = figureKey(version, requestClass);
      sums = sums.set(key, { version, requestClass, sum: sumOf(record) });
    }
    return new OwnRatings(sums);
  }

  /** These ratings and one more. */
  add(rating: Rating): OwnRatings {
    const { version, requestClass, scoreShare } = rating;
    const key = figureKey(version, requestClass);
    const before = this.#sums.get(key)?.sum ?? EMPTY_SUM;
    const sum = addScore(before, scoreShare);
    return new OwnRatings(
      this.#sums.set(key, { version, requestClass, sum }),
    );
  }

  /** The totals of each version and class. */
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

/** The total of one version and class on one VM. */
export interface OwnSum {
  readonly version: VersionName;
  readonly requestClass: RequestClass;
  readonly sum: RatingSum;
}

/** What a table is brought up to date with. */
export interface QualitySources {
  /** `ControlState.quality`. */
  readonly records: PersistentMap<string, RecordOf<"quality">>;
  readonly own: OwnRatings;
  /** This VM; its own records are superseded by `own`. */
  readonly vm: string;
}

/** Quality of all versions and classes, as one VM knows it. */
export class QualityTable {
  readonly #totals: ReadonlyMap<string, RatingSum>;
  readonly #aged: ReadonlyMap<string, RatingSum>;

  private constructor(
    totals: ReadonlyMap<string, RatingSum>,
    aged: ReadonlyMap<string, RatingSum>,
  ) {
    this.#totals = totals;
    this.#aged = aged;
  }

  /** A table without ratings. */
  static readonly empty: QualityTable = new QualityTable(new Map(), new Map());

  /** The table after reading all sources again. */
  refresh(sources: QualitySources): QualityTable {
    const totals = totalsOf(sources);
    const aged = new Map<string, RatingSum>();
    for (const [key, total] of totals) {
      const growth = growthOf(total, this.#totals.get(key) ?? EMPTY_SUM);
      aged.set(key, age(this.#aged.get(key) ?? EMPTY_SUM, growth));
    }
    return new QualityTable(totals, aged);
  }

  /** All ratings of a version and class, for the sequential tests. */
  totalSumOf(version: VersionName, requestClass: RequestClass): RatingSum {
    return this.#totals.get(figureKey(version, requestClass)) ?? EMPTY_SUM;
  }

  /** The aged ratings of a version and class. */
  decayedSumOf(version: VersionName, requestClass: RequestClass): RatingSum {
    return this.#aged.get(figureKey(version, requestClass)) ?? EMPTY_SUM;
  }

  /** The aged figure of a version and class, with the catalogue's prior. */
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
    add(figureKey(record.version, record.requestClass), sumOf(record));
  }
  for (const { version, requestClass, sum } of sources.own.sums()) {
    add(figureKey(version, requestClass), sum);
  }
  return totals;
}

function age(aged: RatingSum, growth: RatingSum): RatingSum {
  const fresh = capSum(growth, MAX_DECAYED_RATINGS);
  return addSums(capSum(aged, MAX_DECAYED_RATINGS - fresh.count), fresh);
}

/** The catalogue's expectation of a version, as ratings of its own weight. */
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

function figureKey(version: VersionName, requestClass: RequestClass): string {
  return `${version} ${requestClass}`;
}
