/**
 * Virtual time: a queue of timers that fire in order. All pending promise
 * callbacks run between two timers, so a run is deterministic.
 */
import { type Sleep } from "../../src/model/mod.ts";

interface Timer {
  readonly dueMs: number;
  /** Sequence number, for timers due at the same time. */
  readonly order: number;
  readonly fire: () => void;
}

/** A clock and a sleep function that advance without real time passing. */
export class VirtualTime {
  #nowMs = 0;
  #nextOrder = 0;
  readonly #heap: Timer[] = [];

  readonly clock = (): number => this.#nowMs;

  readonly sleep: Sleep = (durationMs, signal) =>
    new Promise((resolve) => {
      const onAbort = (): void => resolve();
      signal?.addEventListener("abort", onAbort, { once: true });
      this.at(this.#nowMs + Math.max(0, durationMs), () => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      });
    });

  /** Schedules a callback. Those due at the same time run in calling order. */
  at(dueMs: number, fire: () => void): void {
    this.#push({ dueMs, order: this.#nextOrder++, fire });
  }

  /** Fires all timers due by a time and advances the clock to it. */
  async runUntil(endMs: number): Promise<void> {
    for (;;) {
      const next = this.#heap[0];
      if (next === undefined || next.dueMs > endMs) break;
      this.#pop();
      this.#nowMs = next.dueMs;
      next.fire();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.#nowMs = endMs;
  }

  #push(timer: Timer): void {
    const heap = this.#heap;
    heap.push(timer);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#swapIfEarlier(index, parent)) break;
      index = parent;
    }
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (heap.length === 0 || last === undefined) return;
    heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const child = this.#isEarlier(right, left) ? right : left;
      if (!this.#swapIfEarlier(child, index)) break;
      index = child;
    }
  }

  #swapIfEarlier(index: number, other: number): boolean {
    if (!this.#isEarlier(index, other)) return false;
    const a = this.#heap[index];
    const b = this.#heap[other];
    if (a === undefined || b === undefined) return false;
    this.#heap[index] = b;
    this.#heap[other] = a;
    return true;
  }

  #isEarlier(index: number, other: number): boolean {
    const a = this.#heap[index];
    const b = this.#heap[other];
    if (a === undefined || b === undefined) return false;
    return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);
  }
}
