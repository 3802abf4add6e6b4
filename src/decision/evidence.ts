/**
 * Sequential evidence that a version is worse than its baseline, or that it is
 * not. The evidence is a likelihood ratio averaged over a half-normal prior of
 * the effect (a mixture sequential probability ratio test). Under the null
 * hypothesis the probability that it ever reaches 1 / a is at most a, however
 * often it is evaluated. Means are treated as normally distributed; variance
 * estimates start from the largest variance that such scores can have.
 */
import { meanOf, type RatingSum, varianceOf } from "./rating_sum.ts";

/** Scale of the effects to detect, as a difference of mean scores. */
const EFFECT_SCALE_SHARE = 0.1;
/**
 * Weight of the prior variance, in ratings. The prior is the largest variance
 * that scores in [0, 1] with the baseline's mean can have, so that a few equal
 * ratings do not yield a variance near zero.
 */
const VARIANCE_PRIOR_RATINGS = 16;
const MIN_PRIOR_VARIANCE = 0.01;
/** Caps the exponent, so that evidence stays finite. */
const MAX_EXPONENT = 600;

/** Ratings of a version and of its baseline for one request class. */
export interface ClassComparison {
  readonly version: RatingSum;
  readonly baseline: RatingSum;
}

/** Difference of mean scores, version minus baseline. */
export interface Difference {
  /** Positive if the version scores better. */
  readonly meanShare: number;
  readonly variance: number;
}

/** Returns the difference of one class; undefined if either has no ratings. */
export function differenceOf(
  comparison: ClassComparison,
): Difference | undefined {
  const { version, baseline } = comparison;
  if (version.count === 0 || baseline.count === 0) return undefined;
  const baselineMean = meanOf(baseline);
  const prior = Math.max(
    MIN_PRIOR_VARIANCE,
    baselineMean * (1 - baselineMean),
  );
  return {
    meanShare: meanOf(version) - baselineMean,
    variance: meanVarianceOf(version, prior) + meanVarianceOf(baseline, prior),
  };
}

/** Averages the differences of all classes, weighted by inverse variance. */
export function pooledDifferenceOf(
  differences: readonly Difference[],
): Difference | undefined {
  let precision = 0;
  let weighted = 0;
  for (const { meanShare, variance } of differences) {
    precision += 1 / variance;
    weighted += meanShare / variance;
  }
  if (precision === 0) return undefined;
  return { meanShare: weighted / precision, variance: 1 / precision };
}

/** Evidence that the version's loss is above the tolerated share. */
export function lossEvidence(
  difference: Difference,
  toleratedLossShare: number,
): number {
  const excess = difference.meanShare + toleratedLossShare;
  return mixtureRatio(-excess, difference.variance);
}

/** Evidence that the version's loss is below the tolerated share. */
export function nonInferiorityEvidence(
  difference: Difference,
  toleratedLossShare: number,
): number {
  const excess = difference.meanShare + toleratedLossShare;
  return mixtureRatio(excess, difference.variance);
}

/**
 * Evidence of loss over all classes. Half of the weight is on the pooled
 * difference, for a version that is worse in all classes, and half is split
 * among the classes, for a version that is worse in one of them.
 */
export function overallLossEvidence(
  comparisons: readonly ClassComparison[],
  toleratedLossShare: number,
): number {
  const differences = differencesOf(comparisons);
  const pooled = pooledDifferenceOf(differences);
  if (pooled === undefined) return 0;
  let single = 0;
  for (const difference of differences) {
    single += lossEvidence(difference, toleratedLossShare) / differences.length;
  }
  return (lossEvidence(pooled, toleratedLossShare) + single) / 2;
}

/** Evidence of a tolerable loss, from the pooled difference of all classes. */
export function overallNonInferiorityEvidence(
  comparisons: readonly ClassComparison[],
  toleratedLossShare: number,
): number {
  const pooled = pooledDifferenceOf(differencesOf(comparisons));
  return pooled === undefined
    ? 0
    : nonInferiorityEvidence(pooled, toleratedLossShare);
}

function differencesOf(
  comparisons: readonly ClassComparison[],
): Difference[] {
  return comparisons.map(differenceOf)
    .filter((difference) => difference !== undefined);
}

/** Likelihood ratio of a positive to a zero mean for a normal observation. */
function mixtureRatio(observed: number, variance: number): number {
  const priorVariance = EFFECT_SCALE_SHARE * EFFECT_SCALE_SHARE;
  const total = variance + priorVariance;
  const exponent = priorVariance * observed * observed /
    (2 * variance * total);
  const z = observed * Math.sqrt(priorVariance / (variance * total));
  const scale = 2 * Math.sqrt(variance / total) * normalCdf(z);
  return scale * Math.exp(Math.min(MAX_EXPONENT, exponent));
}

function meanVarianceOf(sum: RatingSum, priorVariance: number): number {
  const spread = varianceOf(sum) * sum.count;
  const count = sum.count + VARIANCE_PRIOR_RATINGS;
  const variance = (spread + priorVariance * VARIANCE_PRIOR_RATINGS) / count;
  return variance / sum.count;
}

/** Cumulative normal distribution, rational approximation; error < 1e-7. */
function normalCdf(z: number): number {
  const t = 1 / (1 + 0.2316419 * Math.abs(z));
  const poly = t *
    (0.319381530 + t *
        (-0.356563782 + t *
            (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
  const tail = Math.exp(-z * z / 2) / Math.sqrt(2 * Math.PI) * poly;
  return z < 0 ? tail : 1 - tail;
}
