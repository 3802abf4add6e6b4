/**
 * Bounds the silence of a connection. The watchdog aborts its signal when
 * nothing was heard for the time allowed, or when the caller's signal aborts.
 * While paused, as when a slow reader holds a stream back, time doesn't count.
 */

/** A timer that is pushed back by every sign of life. */
export class Watchdog {
  readonly #controller = new AbortController();
  readonly #outer: AbortSignal;
  readonly #onAbort: () => void;
  #timer: NodeJS.Timeout;
  #silenceMs: number;
  #isPaused = false;
  #isSilent = false;
  /** Called once when silence ends the watch. */
  onTimeout: () => void = () => {};

  constructor(silenceMs: number, outer: AbortSignal) {
    this.#silenceMs = silenceMs;
    this.#timer = this.#arm(silenceMs);
    this.#outer = outer;
    this.#onAbort = () => this.#controller.abort();
    if (outer.aborted) this.#controller.abort();
    else outer.addEventListener("abort", this.#onAbort, { once: true });
  }

  /** Aborts on silence and with the outer signal. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether silence was the reason. */
  get isTimedOut(): boolean {
    return this.#isSilent;
  }

  /** Stops counting until {@link resume}. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Counts again from now. */
  resume(silenceMs: number): void {
    this.#isPaused = false;
    if (silenceMs === this.#silenceMs) {
      this.#timer.refresh();
      return;
    }
    clearTimeout(this.#timer);
    this.#silenceMs = silenceMs;
    this.#timer = this.#arm(silenceMs);
  }

  /** Ends the watch. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#outer.removeEventListener("abort", this.#onAbort);
  }

  #arm(silenceMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      if (this.#isPaused) return;
      this.#isSilent = true;
      this.onTimeout();
      this.#controller.abort();
    }, silenceMs);
  }
}
