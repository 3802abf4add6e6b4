/**
 * Estimated durations by kind of work, over all servers that this VM uses. A
 * kind of work is a version and request class, or a plain service. The number
 * of kinds is limited; the least recently updated one is evicted.
 */

/** Expected durations of one kind of work. */
export interface DurationEstimate {
  /** Time to the first token without queueing. */
  readonly firstTokenMs: number;
  /** Time that a request occupies a slot. */
  readonly serviceMs: number;
  /** Time between tokens; 0 if none was observed. */
  readonly tokenMs: number;
}

/** Durations observed for one piece of work on a server. */
export interface DurationSample {
  readonly firstTokenMs: number | undefined;
  readonly serviceMs: number | undefined;
  readonly tokenMs: number | undefined;
}

/** Initial estimates of every kind of work. */
export type DurationPrior = Pick<
  DurationEstimate,
  "firstTokenMs" | "serviceMs"
>;

const MAX_KINDS = 256;
const SMOOTHING_SHARE = 0.05;
/** A sample above the mean includes queueing time, so it weighs less. */
const ABOVE_SHARE = 0.01;
const BELOW_SHARE = 0.1;

/** Moving averages of the durations by kind of work. */
export class DurationEstimates {
  readonly #prior: DurationPrior;
  readonly #kinds = new Map<string, DurationEstimate>();

  constructor(prior: DurationPrior) {
    this.#prior = prior;
  }

  /** Returns the estimate for a kind of work. */
  of(workKind: string): DurationEstimate {
    return this.#kinds.get(workKind) ?? { ...this.#prior, tokenMs: 0 };
  }

  /** Updates the estimate of a kind of work with one sample. */
  record(workKind: string, sample: DurationSample): void {
    const existing = this.#kinds.get(workKind);
    const before = existing ?? this.of(workKind);
    this.#kinds.delete(workKind);
    this.#kinds.set(workKind, {
      firstTokenMs: existing === undefined
        ? sample.firstTokenMs ?? before.firstTokenMs
        : asymmetricMean(before.firstTokenMs, sample.firstTokenMs),
      serviceMs: mean(before.serviceMs, sample.serviceMs),
      tokenMs: before.tokenMs === 0
        ? sample.tokenMs ?? 0
        : mean(before.tokenMs, sample.tokenMs),
    });
    if (this.#kinds.size <= MAX_KINDS) return;
    const oldest = this.#kinds.keys().next();
    if (oldest.done !== true) this.#kinds.delete(oldest.value);
  }
}

function mean(before: number, sample: number | undefined): number {
  if (sample === undefined) return before;
  return before + SMOOTHING_SHARE * (sample - before);
}

function asymmetricMean(before: number, sample: number | undefined): number {
  if (sample === undefined) return before;
  const share = sample > before ? ABOVE_SHARE : BELOW_SHARE;
  return before + share * (sample - before);
}
