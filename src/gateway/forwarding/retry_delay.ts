/** Why a request has no server, and when a refused one may come back. */
import { type ForwardContext, type ForwardRequest } from "./forward_context.ts";
import { crashPartIds } from "../callers/request_digest.ts";
import { lacksMemory } from "../servers/server_choice.ts";
import { closureOf, type ServerClosure } from "../servers/server_closure.ts";

/** Bounds of the random delay, so that callers don't return together. */
const RETRY_AFTER_MS = { min: 300, max: 1000 } as const;
/** Causes for which a request was not sent to any server. */
const UNREACHED_CAUSES: readonly string[] = ["unreachable", "vm_refused"];

/** Returns why there is no server for a request. */
export function noServerReason(
  context: ForwardContext,
  request: ForwardRequest,
):
  | "no_backend"
  | "no_server_in_region"
  | "prompt_quarantined"
  | "server_memory"
  | ServerClosure["reason"] {
  if (quarantineWaitMs(context, request) !== undefined) {
    return "prompt_quarantined";
  }
  const closure = firstToOpen(context, request);
  if (closure !== undefined) return closure.reason;
  if (isWithoutServer(context, request)) return "no_server_in_region";
  return lacksMemory(context, request) ? "server_memory" : "no_backend";
}

/** Whether a request allows regions, and none of them has a ready server. */
export function isWithoutServer(
  { fleet, regions }: ForwardContext,
  request: ForwardRequest,
): boolean {
  const allowsPlace = regions.serverPlacesOf(request);
  if (allowsPlace === undefined) return false;
  return fleet.readyVersionsOf(request.service, allowsPlace).size === 0;
}

/**
 * Returns why a request is refused whose last attempt reached no server: its
 * regions, if no server in them can be connected to.
 */
export function unreachedReason(
  { fleet, regions }: ForwardContext,
  request: ForwardRequest,
  cause: string,
): string {
  if (!UNREACHED_CAUSES.includes(cause)) return cause;
  const allowsPlace = regions.serverPlacesOf(request);
  if (allowsPlace === undefined) return cause;
  const candidates = fleet.candidates({
    service: request.service,
    acceptsVersion: () => true,
    excludedIds: new Set(),
    isOpen: ({ place }) => allowsPlace(place),
    mayProbe: false,
  });
  const isEachDown = candidates.every(({ isSuspect }) => isSuspect);
  return isEachDown ? "no_server_in_region" : cause;
}

/** Returns the delay to send with a refusal. */
export function retryDelayMs(
  context: ForwardContext,
  request: ForwardRequest,
): number {
  const { min, max } = RETRY_AFTER_MS;
  const delayMs = min + context.random() * (max - min);
  const waitMs = quarantineWaitMs(context, request) ??
    firstToOpen(context, request)?.waitMs ?? 0;
  // Where none opens for this VM, another server or VM may be there soon.
  return Number.isFinite(waitMs) ? delayMs + waitMs : delayMs;
}

function quarantineWaitMs(
  { prompts }: ForwardContext,
  request: ForwardRequest,
): number | undefined {
  return prompts.waitMs(crashPartIds(request));
}

/** Returns the closure of the service's server that opens first, if any. */
function firstToOpen(
  context: ForwardContext,
  request: ForwardRequest,
): ServerClosure | undefined {
  const allowsPlace = context.regions.serverPlacesOf(request);
  let first: ServerClosure | undefined;
  for (const server of context.fleet.serversOf(request.service)) {
    if (server.status !== "ready") continue;
    if (allowsPlace?.(server.place) === false) continue;
    const closure = closureOf(context, server);
    if (closure === undefined) continue;
    if (first === undefined || opensFirst(closure, first)) first = closure;
  }
  return first;
}

/** Of closures that no time ends, an evacuation is the one to report. */
function opensFirst(a: ServerClosure, b: ServerClosure): boolean {
  if (a.waitMs !== b.waitMs) return a.waitMs < b.waitMs;
  return a.reason === "evacuated" && b.reason !== "evacuated";
}
