/**
 * How long a backend server may be silent before a request that may be repeated
 * goes elsewhere. Patience grows with the prompt that is read first and with
 * what the service usually takes, so that a busy service is not asked twice.
 */
import { type ServiceRoute } from "../model/mod.ts";

/** Part of the target that the first server may use up. */
const TARGET_SHARE = 0.6;
/** Times the service's mean. */
const MEAN_FACTOR = 4;
/** Reading a long prompt, with the prompts of others beside it. */
const PROMPT_MS_PER_TOKEN = 0.06;
/**
 * Times the longest pause on time: reading the long prompts of others makes
 * pauses of a second, and a stream that is moved for one waits twice.
 */
const GAP_FACTOR = 1.3;

/** Until the first byte of an answer. */
export function firstByteTimeoutMs(
  route: ServiceRoute,
  work: { readonly meanMs: number; readonly promptTokens: number },
): number {
  const usualMs = MEAN_FACTOR * work.meanMs;
  return Math.max(TARGET_SHARE * route.targetMs, usualMs) +
    work.promptTokens * PROMPT_MS_PER_TOKEN;
}

/** Between two events of a stream. */
export function gapTimeoutMs(route: ServiceRoute): number {
  return GAP_FACTOR * (route.gapTargetMs ?? route.targetMs);
}
