/**
 * Idle timeout of a connection. The watchdog aborts its signal when no data was
 * received within the timeout, or when the caller's signal aborts. It does not
 * time out while paused, for example while a slow reader blocks the stream.
 */

/** An idle timer that its owner pauses and resumes at each frame. */
export class Watchdog {
  readonly #controller = new AbortController();
  readonly #callerSignal: AbortSignal;
  readonly #onAbort: () => void;
  #timer: NodeJS.Timeout;
  #timeoutMs: number;
  #isPaused = false;
  #isTimedOut = false;
  /** Called once when the idle timeout expires. */
  onTimeout: () => void = () => {};

  constructor(timeoutMs: number, callerSignal: AbortSignal) {
    this.#timeoutMs = timeoutMs;
    this.#timer = this.#arm(timeoutMs);
    this.#callerSignal = callerSignal;
    this.#onAbort = () => this.#controller.abort();
    if (callerSignal.aborted) this.#controller.abort();
    else callerSignal.addEventListener("abort", this.#onAbort, { once: true });
  }

  /** Aborts on a timeout and with the caller's signal. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether the idle timeout expired. */
  get isTimedOut(): boolean {
    return this.#isTimedOut;
  }

  /** Suspends the timeout until {@link resume}. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Restarts the timeout from now. */
  resume(timeoutMs: number): void {
    this.#isPaused = false;
    if (timeoutMs === this.#timeoutMs) {
      this.#timer.refresh();
      return;
    }
    clearTimeout(this.#timer);
    this.#timeoutMs = timeoutMs;
    this.#timer = this.#arm(timeoutMs);
  }

  /** Stops the timer and detaches from the caller's signal. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#callerSignal.removeEventListener("abort", this.#onAbort);
  }

  #arm(timeoutMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      if (this.#isPaused) return;
      this.#isTimedOut = true;
      this.onTimeout();
      this.#controller.abort();
    }, timeoutMs);
  }
}
