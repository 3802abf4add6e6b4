/**
 * How long an engine reads a token of a prompt, by model, learnt from the time
 * to the first byte. The quickest answers count: others waited for something
 * else as well.
 */

/** Shorter prompts say little beside the rest of the time. */
const LEAST_TOKENS = 2000;
/** By this a rate grows with each slower answer, so that old luck is forgotten. */
const DRIFT = 1.02;
const MAX_KEYS = 1000;

/** Milliseconds a token by service and model. */
export class PrefillRates {
  readonly #msPerToken = new Map<string, number>();

  /** Learns from one answer. */
  record(
    key: string,
    given: { readonly tokens: number; readonly ms: number },
  ): void {
    if (given.tokens < LEAST_TOKENS) return;
    const sample = given.ms / given.tokens;
    const known = this.#msPerToken.get(key);
    if (known === undefined && this.#msPerToken.size >= MAX_KEYS) return;
    this.#msPerToken.set(key, Math.min(sample, (known ?? sample) * DRIFT));
  }

  /** The time that a prompt keeps an engine busy; 0 while nothing is known. */
  estimateMs(key: string, tokens: number): number {
    return tokens * (this.#msPerToken.get(key) ?? 0);
  }
}
