/**
 * Virtual time: a queue of timers that fire in order. Between two timers all
 * promises that can go on do so, so a run is deterministic.
 */
import { type Sleep } from "../../src/model/mod.ts";

interface Timer {
  readonly dueMs: number;
  readonly order: number;
  readonly fire: () => void;
}

/** A clock and a sleep that take no real time. */
export class VirtualTime {
  #nowMs = 0;
  #order = 0;
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

  /** Calls `fire` at a time. */
  at(dueMs: number, fire: () => void): void {
    this.#push({ dueMs, order: this.#order++, fire });
  }

  /** Fires all timers up to a time. */
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
