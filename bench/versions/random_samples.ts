/** Seeded draws for the simulations of decisions. */
import { type Random } from "../../src/model/mod.ts";

/** Mean and deviation of the scores to draw. */
export interface ScoreDistribution {
  readonly meanShare: number;
  readonly deviationShare: number;
}

/** A generator of uniform numbers in [0, 1) from a seed (mulberry32). */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** A score of 0 or 1: the noisiest with this mean. */
export function sampleAllOrNothing(
  random: Random,
  draw: ScoreDistribution,
): number {
  return random() < draw.meanShare ? 1 : 0;
}

/** A beta-distributed score with this mean and deviation. */
export function sampleBeta(random: Random, draw: ScoreDistribution): number {
  const { meanShare, deviationShare } = draw;
  const ratio = meanShare * (1 - meanShare) / (deviationShare ** 2);
  const weight = Math.max(0.5, ratio - 1);
  const good = sampleGamma(random, meanShare * weight);
  const bad = sampleGamma(random, (1 - meanShare) * weight);
  return good / (good + bad);
}

/** A gamma variate by Marsaglia and Tsang's method. */
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

function sampleNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/** The value below which a share of the values lie. */
export function quantileOf(
  values: readonly number[],
  share: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return sorted[index] ?? 0;
}
