/**
 * How long a backend server may be silent before a retriable request goes to
 * another server. The timeout grows with the prompt, which is processed first,
 * and with the mean service time, so that a busy service doesn't get each
 * request twice. An engine that works for others is given longer
 * (`silence_watch`).
 */
import { type ServiceRoute } from "../../model/mod.ts";

/** Share of the route's target that the first server may use up. */
const TARGET_SHARE = 0.6;
/** Timeout as a multiple of the mean service time. */
const MEAN_FACTOR = 4;
/** Time to process a token while other requests' prompts are processed. */
const PROMPT_MS_PER_TOKEN = 0.06;
/**
 * Timeout as a multiple of the longest pause that counts as on time. Long
 * prompts of other requests cause pauses of a second; a stream that is moved
 * during such a pause waits again at the next server.
 */
const GAP_FACTOR = 1.3;

/** Timeout until the first byte of an answer. */
export function firstByteTimeoutMs(
  route: ServiceRoute,
  work: { readonly meanMs: number; readonly promptTokens: number },
): number {
  const serviceTimeoutMs = MEAN_FACTOR * work.meanMs;
  return Math.max(TARGET_SHARE * route.targetMs, serviceTimeoutMs) +
    work.promptTokens * PROMPT_MS_PER_TOKEN;
}

/** Timeout between two parts of a stream. */
export function gapTimeoutMs(route: ServiceRoute): number {
  return GAP_FACTOR * (route.gapTargetMs ?? route.targetMs);
}
