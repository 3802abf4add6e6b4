/**
 * How slow one server is against the others at the same work. The ratio is
 * made from like samples, so that a server that gets long answers is not taken
 * for a slow one; it fades, so that a server once found slow is tried again.
 */

/** The smoothed ratio of one server's durations to the expected ones. */
export interface Slowness {
  /** 1 for a server as fast as the others. */
  readonly ratio: number;
  readonly sampleCount: number;
  readonly updatedAtMs: number;
}

/** A sample of a server's ratio. */
export interface SlownessSample {
  readonly observedMs: number;
  readonly expectedMs: number;
  readonly nowMs: number;
}

/** A server of which no sample was taken. */
export const NEUTRAL_SLOWNESS: Slowness = {
  ratio: 1,
  sampleCount: 0,
  updatedAtMs: 0,
};

const SMOOTHING_SHARE = 0.2;
const HALF_LIFE_MS = 30_000;
const MIN_RATIO = 0.1;
const MAX_RATIO = 20;

/** The ratio now: an old one fades to 1. */
export function slownessRatio(slowness: Slowness, nowMs: number): number {
  const ageMs = Math.max(0, nowMs - slowness.updatedAtMs);
  return 1 + (slowness.ratio - 1) * 2 ** (-ageMs / HALF_LIFE_MS);
}

/** The slowness after one more sample; the first ones weigh more. */
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
  const before = slownessRatio(slowness, nowMs);
  const ratio = before + weight * (sample - before);
  return { ratio, sampleCount, updatedAtMs: nowMs };
}
