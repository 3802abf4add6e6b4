/** Seeded random samples for the simulations of roll-outs. */
import { type Random } from "../../src/model/mod.ts";

/** Mean and standard deviation of a score. */
export interface ScoreDistribution {
  readonly meanShare: number;
  readonly deviationShare: number;
}

/** Creates a seeded generator of uniform numbers in [0, 1) (mulberry32). */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Samples a score of 0 or 1, which has the largest variance for a mean. */
export function sampleAllOrNothing(
  random: Random,
  distribution: ScoreDistribution,
): number {
  return random() < distribution.meanShare ? 1 : 0;
}

/** Samples a beta-distributed score. */
export function sampleBeta(
  random: Random,
  distribution: ScoreDistribution,
): number {
  const { meanShare, deviationShare } = distribution;
  const ratio = meanShare * (1 - meanShare) / (deviationShare ** 2);
  const weight = Math.max(0.5, ratio - 1);
  const good = sampleGamma(random, meanShare * weight);
  const bad = sampleGamma(random, (1 - meanShare) * weight);
  return good / (good + bad);
}

/** Samples a gamma variate by Marsaglia and Tsang's method. */
function sampleGamma(random: Random, shape: number): number {
  if (shape < 1) {
    return sampleGamma(random, shape + 1) * (1 - random()) ** (1 / shape);
  }
  const offset = shape - 1 / 3;
  const scale = 1 / Math.sqrt(9 * offset);
  for (;;) {
    const normal = sampleNormal(random);
    const cube = (1 + scale * normal) ** 3;
    if (cube <= 0) continue;
    const limit = normal ** 2 / 2 + offset * (1 - cube + Math.log(cube));
    if (Math.log(1 - random()) < limit) return offset * cube;
  }
}

/** Samples a standard normal variate by the Box-Muller transform. */
function sampleNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/** Returns the quantile of a share; 0 for no values. */
export function quantileOf(
  values: readonly number[],
  share: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return sorted[index] ?? 0;
}
