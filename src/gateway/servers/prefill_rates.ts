/**
 * Estimates the time an engine takes per prompt token, by service and model,
 * from the times to the first byte. The fastest answers count, since slower
 * ones also include waiting.
 */

/** With a shorter prompt, other delays outweigh the prompt's time. */
const MIN_TOKENS = 2000;
/** Each slower answer raises the rate by this, so that low outliers fade. */
const DRIFT_FACTOR = 1.02;
const MAX_KEYS = 1000;

/** The key of a service's model; without a model, of the service. */
export function prefillKeyOf(
  service: string,
  model: string | undefined,
): string {
  return `${service} ${model ?? ""}`;
}

/** Milliseconds per prompt token, by key. */
export class PrefillRates {
  readonly #msPerToken = new Map<string, number>();

  /** Updates the rate of a key from one answer. */
  record(
    key: string,
    prompt: { readonly tokens: number; readonly ms: number },
  ): void {
    if (prompt.tokens < MIN_TOKENS) return;
    const rate = prompt.ms / prompt.tokens;
    const currentRate = this.#msPerToken.get(key);
    if (currentRate === undefined && this.#msPerToken.size >= MAX_KEYS) return;
    this.#msPerToken.set(
      key,
      Math.min(rate, (currentRate ?? rate) * DRIFT_FACTOR),
    );
  }

  /** The time to process tokens; undefined for a key without a rate. */
  measuredMs(key: string, tokens: number): number | undefined {
    const rate = this.#msPerToken.get(key);
    return rate === undefined ? undefined : tokens * rate;
  }

  /** Estimates the time to process a prompt; 0 for a key without a rate. */
  estimateMs(key: string, tokens: number): number {
    return this.measuredMs(key, tokens) ?? 0;
  }
}
