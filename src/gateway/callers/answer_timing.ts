/**
 * Timing of an answer towards its caller: time to the first byte and longest
 * pause. An answer that exceeds the route's limit for either counts as late.
 */
import { type ServiceRoute } from "../../model/mod.ts";

/** Timing of one answer, updated with each part sent to the caller. */
export class AnswerTiming {
  readonly #receivedAtMs: number;
  #lastPartAtMs: number | undefined;
  #firstByteMs: number | undefined;
  #longestPauseMs = 0;

  constructor(options: { readonly receivedAtMs: number }) {
    this.#receivedAtMs = options.receivedAtMs;
  }

  /** Time from the request to the first part; `undefined` before it. */
  get firstByteMs(): number | undefined {
    return this.#firstByteMs;
  }

  /** The longest time between two parts. */
  get longestPauseMs(): number {
    return this.#longestPauseMs;
  }

  /** Records that a part of the answer was sent. */
  recordPart(nowMs: number): void {
    if (this.#lastPartAtMs === undefined) {
      this.#firstByteMs = nowMs - this.#receivedAtMs;
    } else {
      const pauseMs = nowMs - this.#lastPartAtMs;
      this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    }
    this.#lastPartAtMs = nowMs;
  }

  /** Whether the parts sent so far exceed a time limit of the route. */
  isLate({ targetMs, gapTargetMs }: ServiceRoute): boolean {
    return (this.#firstByteMs ?? 0) > targetMs ||
      this.#longestPauseMs > (gapTargetMs ?? Infinity);
  }
}
