/** The size of a request, as the estimates of servers need it. */
import { type RequestSize } from "../../decision/mod.ts";
import { prefillKeyOf, type PrefillRates } from "./prefill_rates.ts";

/** Tokens of an answer; nothing states them beforehand. */
const EXPECTED_ANSWER_TOKENS = 512;

/** Returns the tokens of a request and the time to prefill its prompt. */
export function requestSize(
  { prefill }: { readonly prefill: PrefillRates },
  { service, model, promptTokens }: {
    readonly service: string;
    readonly model: string | undefined;
    readonly promptTokens: number;
  },
): RequestSize {
  if (promptTokens === 0) return { tokens: 0, prefillMs: 0 };
  return {
    tokens: promptTokens + EXPECTED_ANSWER_TOKENS,
    prefillMs: prefill.estimateMs(prefillKeyOf(service, model), promptTokens),
  };
}
