/**
 * Virtual time for tests: the clock advances to the next timer only when no
 * other work is pending, so that hours pass in milliseconds and runs are
 * deterministic.
 */
import { type Clock, type Sleep } from "../../src/model/mod.ts";

interface Timer {
  readonly dueMs: number;
  readonly fire: () => void;
}

/** A clock and timers controlled by a test. */
export class VirtualTime {
  #nowMs = 0;
  readonly #timers = new Set<Timer>();

  readonly clock: Clock = () => this.#nowMs;

  readonly sleep: Sleep = (durationMs, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted === true) return resolve();
      const timer: Timer = {
        dueMs: this.#nowMs + Math.max(0, durationMs),
        fire: () => {
          this.#timers.delete(timer);
          signal?.removeEventListener("abort", timer.fire);
          resolve();
        },
      };
      this.#timers.add(timer);
      signal?.addEventListener("abort", timer.fire, { once: true });
    });

  /** Advances time until `work` is settled; throws after `limitMs`. */
  async run<T>(work: Promise<T>, limitMs = 3_600_000): Promise<T> {
    const endMs = this.#nowMs + limitMs;
    let isSettled = false;
    const settle = (): void => void (isSettled = true);
    work.then(settle, settle);
    while (true) {
      await idle();
      if (isSettled) return await work;
      const next = this.#next();
      if (next === undefined) throw new Error("no timer is pending");
      if (next.dueMs > endMs) throw new Error(`not done in ${limitMs} ms`);
      this.#nowMs = Math.max(this.#nowMs, next.dueMs);
      next.fire();
    }
  }

  /** Advances time by `durationMs`. */
  pass(durationMs: number): Promise<void> {
    return this.run(this.sleep(durationMs));
  }

  #next(): Timer | undefined {
    let first: Timer | undefined;
    for (const timer of this.#timers) {
      if (first === undefined || timer.dueMs < first.dueMs) first = timer;
    }
    return first;
  }
}

function idle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
