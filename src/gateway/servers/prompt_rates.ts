/**
 * Counts the requests with each shared prompt that this VM sends, so that a
 * frequent prompt gets more than one home. Counts decay, and the prompts that
 * were used longest ago are dropped.
 */
import { type Clock } from "../../model/mod.ts";

const HALF_LIFE_MS = 10_000;
const MAX_KEYS = 1000;

interface PromptCount {
  readonly count: number;
  readonly updatedAtMs: number;
}

/** Requests a second, by prompt. */
export class PromptRates {
  readonly #clock: Clock;
  /** The prompt used last is at the end. */
  readonly #counts = new Map<string, PromptCount>();

  constructor({ clock }: { readonly clock: Clock }) {
    this.#clock = clock;
  }

  /** Counts a request that is sent. */
  record(key: string): void {
    const count = this.#countOf(key) + 1;
    this.#counts.delete(key);
    this.#counts.set(key, { count, updatedAtMs: this.#clock() });
    if (this.#counts.size <= MAX_KEYS) return;
    for (const oldest of this.#counts.keys()) {
      this.#counts.delete(oldest);
      return;
    }
  }

  /** This VM's requests a second with a prompt. */
  perSecond(key: string): number {
    return this.#countOf(key) * Math.LN2 * 1000 / HALF_LIFE_MS;
  }

  #countOf(key: string): number {
    const last = this.#counts.get(key);
    if (last === undefined) return 0;
    const ageMs = this.#clock() - last.updatedAtMs;
    return last.count * 0.5 ** (ageMs / HALF_LIFE_MS);
  }
}
