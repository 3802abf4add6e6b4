/**
 * How an answer reached its caller: when it began, and the longest pause within
 * it. An answer that begins later than the route's target, or pauses for longer
 * than its longest pause, is worth less to the caller.
 */
import { type ServiceRoute } from "../model/mod.ts";

/** The pace of one answer, changed by each part of it that is passed on. */
export class AnswerTiming {
  readonly #receivedAtMs: number;
  #lastAtMs: number | undefined;
  #firstByteMs: number | undefined;
  #longestPauseMs = 0;

  constructor(options: { readonly receivedAtMs: number }) {
    this.#receivedAtMs = options.receivedAtMs;
  }

  /** From the request to the first part; `undefined` before it. */
  get firstByteMs(): number | undefined {
    return this.#firstByteMs;
  }

  /** The longest time between two parts. */
  get longestPauseMs(): number {
    return this.#longestPauseMs;
  }

  /** A part was passed on. */
  recordPart(nowMs: number): void {
    if (this.#lastAtMs === undefined) {
      this.#firstByteMs = nowMs - this.#receivedAtMs;
    } else {
      const pauseMs = nowMs - this.#lastAtMs;
      this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    }
    this.#lastAtMs = nowMs;
  }

  /** Whether the answer met its route's aims, as far as it went. */
  isLate({ targetMs, gapTargetMs }: ServiceRoute): boolean {
    return (this.#firstByteMs ?? 0) > targetMs ||
      this.#longestPauseMs > (gapTargetMs ?? Infinity);
  }
}
