/** Why a request has no server, and when a refused one may come back. */
import { type ForwardContext, type ForwardRequest } from "./forward_context.ts";
import { sharedPartIds } from "./protocol.ts";

/** Bounds of the random delay, so that callers don't return together. */
const RETRY_AFTER_MS = { min: 300, max: 1000 } as const;

/**
 * Returns the time until the first server of a request's service that only its
 * limit keeps from a request may take one; `undefined` without such a server.
 */
function limitWaitMs(
  { fleet, limits }: ForwardContext,
  { service }: ForwardRequest,
): number | undefined {
  let firstMs: number | undefined;
  for (const server of fleet.serversOf(service)) {
    if (server.status !== "ready") continue;
    const waitMs = limits.waitMs(server);
    if (waitMs > 0) firstMs = Math.min(waitMs, firstMs ?? Infinity);
  }
  return firstMs;
}

/** Returns why there is no server for a request. */
export function noServerReason(
  context: ForwardContext,
  request: ForwardRequest,
): "no_backend" | "server_limit" | "prompt_quarantined" {
  if (quarantineWaitMs(context, request) !== undefined) {
    return "prompt_quarantined";
  }
  return limitWaitMs(context, request) === undefined
    ? "no_backend"
    : "server_limit";
}

/** Returns the delay to send with a refusal. */
export function retryDelayMs(
  context: ForwardContext,
  request: ForwardRequest,
): number {
  const { min, max } = RETRY_AFTER_MS;
  const delayMs = min + context.random() * (max - min);
  const waitMs = quarantineWaitMs(context, request) ??
    limitWaitMs(context, request) ?? 0;
  // Without a share of any limit this VM can't tell; another one may.
  return Number.isFinite(waitMs) ? delayMs + waitMs : delayMs;
}

function quarantineWaitMs(
  { prompts }: ForwardContext,
  { caller }: ForwardRequest,
): number | undefined {
  return prompts.waitMs(sharedPartIds(caller));
}
