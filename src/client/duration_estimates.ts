/**
 * Expected durations by kind of work, over all servers that this VM uses. A
 * kind of work is a version and class, or a plain service. Bounded; the kind
 * unused for longest is forgotten.
 */

/** What a kind of work is expected to take. */
export interface DurationEstimate {
  /** Time to the first token without waiting. */
  readonly firstTokenMs: number;
  /** Time that a request holds a slot. */
  readonly serviceMs: number;
  /** Time between tokens; 0 where none was seen. */
  readonly tokenMs: number;
}

/** Durations seen at one use of a server. */
export interface DurationSample {
  readonly firstTokenMs: number | undefined;
  readonly serviceMs: number | undefined;
  readonly tokenMs: number | undefined;
}

/** What all work is expected to take until something was seen. */
export type DurationPrior = Pick<
  DurationEstimate,
  "firstTokenMs" | "serviceMs"
>;

const MAX_KINDS = 256;
const SMOOTHING_SHARE = 0.05;
/** A sample above the mean holds waiting time as well, so it weighs less. */
const ABOVE_SHARE = 0.01;
const BELOW_SHARE = 0.1;

/** Expectations by kind of work. */
export class DurationEstimates {
  readonly #prior: DurationPrior;
  readonly #kinds = new Map<string, DurationEstimate>();

  constructor(prior: DurationPrior) {
    this.#prior = prior;
  }

  /** What a kind of work is expected to take. */
  of(work: string): DurationEstimate {
    return this.#kinds.get(work) ?? { ...this.#prior, tokenMs: 0 };
  }

  /** Takes the durations of one use. */
  record(work: string, sample: DurationSample): void {
    const known = this.#kinds.get(work);
    const before = known ?? this.of(work);
    this.#kinds.delete(work);
    this.#kinds.set(work, {
      firstTokenMs: known === undefined
        ? sample.firstTokenMs ?? before.firstTokenMs
        : lowMean(before.firstTokenMs, sample.firstTokenMs),
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

function lowMean(before: number, sample: number | undefined): number {
  if (sample === undefined) return before;
  const share = sample > before ? ABOVE_SHARE : BELOW_SHARE;
  return before + share * (sample - before);
}
