/**
 * Timeouts for what others send. After the event loop was held up, timers come
 * before what has arrived meanwhile is read; such a timeout passes only once that
 * is read, and not if it has been stopped or restarted by it.
 */

/** A timeout for what has not been read yet; it starts at once. */
export class ReadTimeout {
  readonly #timeoutMs: number;
  readonly #onTimeout: () => void;
  #timer: NodeJS.Timeout | undefined;
  #check: NodeJS.Immediate | undefined;

  constructor(timeoutMs: number, onTimeout: () => void) {
    this.#timeoutMs = timeoutMs;
    this.#onTimeout = onTimeout;
    this.restart();
  }

  /** Starts the timeout anew. */
  restart(): void {
    clearImmediate(this.#check);
    if (this.#timer !== undefined) return void this.#timer.refresh();
    this.#timer = setTimeout(() => {
      this.#check = afterReading(this.#onTimeout);
    }, this.#timeoutMs);
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    clearImmediate(this.#check);
  }
}

/** Calls the listener when all that has arrived by now is read. */
export function afterReading(listener: () => void): NodeJS.Immediate {
  return setImmediate(listener);
}
