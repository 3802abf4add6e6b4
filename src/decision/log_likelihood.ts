/**
 * How much likelier some counts are at one share of hits than at another, as
 * the natural logarithm of the ratio.
 */
export function logLikelihoodRatio(
  { hitCount, count }: { readonly hitCount: number; readonly count: number },
  { share, otherShare }: {
    readonly share: number;
    readonly otherShare: number;
  },
): number {
  return hitCount * Math.log(share / otherShare) +
    (count - hitCount) * Math.log((1 - share) / (1 - otherShare));
}
