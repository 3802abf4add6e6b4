/**
 * Measures how slow a server is compared with the others for the same work. A
 * sample is the ratio of observed to expected duration, so that long answers
 * don't make a server look slow. The ratio decays to 1, so that a server found
 * slow gets requests again.
 */

/** The smoothed ratio of one server's durations to the expected ones. */
export interface Slowness {
  /** 1 for a server as fast as the others, above 1 for a slower one. */
  readonly ratio: number;
  readonly sampleCount: number;
  readonly updatedAtMs: number;
}

/** The duration of one request, and the time of the sample. */
export interface SlownessSample {
  readonly observedMs: number;
  readonly expectedMs: number;
  readonly nowMs: number;
}

/** The slowness of a server without samples. */
export const NEUTRAL_SLOWNESS: Slowness = {
  ratio: 1,
  sampleCount: 0,
  updatedAtMs: 0,
};

const SMOOTHING_SHARE = 0.2;
const HALF_LIFE_MS = 30_000;
const MIN_RATIO = 0.1;
const MAX_RATIO = 20;

/** Returns the ratio now, decayed towards 1 since the last sample. */
export function slownessRatio(slowness: Slowness, nowMs: number): number {
  const ageMs = Math.max(0, nowMs - slowness.updatedAtMs);
  return 1 + (slowness.ratio - 1) * 2 ** (-ageMs / HALF_LIFE_MS);
}

/** Returns the slowness with one more sample; the first ones weigh more. */
export function addSlownessSample(
  slowness: Slowness,
  { observedMs, expectedMs, nowMs }: SlownessSample,
): Slowness {
  if (expectedMs <= 0) return slowness;
  const sample = Math.min(
    MAX_RATIO,
    Math.max(MIN_RATIO, observedMs / expectedMs),
  );
  const sampleCount = slowness.sampleCount + 1;
  const weight = Math.max(SMOOTHING_SHARE, 1 / (sampleCount + 1));
  const decayedRatio = slownessRatio(slowness, nowMs);
  const ratio = decayedRatio + weight * (sample - decayedRatio);
  return { ratio, sampleCount, updatedAtMs: nowMs };
}
