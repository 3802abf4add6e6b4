/** What this VM knows of the open servers for a request. */
import { type CapacityView } from "../../decision/mod.ts";
import { type FleetCandidate } from "../servers/backend_fleet.ts";
import { closureOf } from "../servers/server_closure.ts";
import {
  type ForwardContext,
  type ForwardRequest,
} from "../forwarding/forward_context.ts";

/** An older load or sign of a server says nothing of its slots. */
const MAX_SIGN_AGE_MS = 2000;

/** Whether an open server has a free slot, or the service has no open server. */
export function hasRoom(
  context: ForwardContext,
  request: ForwardRequest,
): boolean {
  let isEachClosed = true;
  for (const { loadCount, slotCount } of openServers(context, request)) {
    if (loadCount + 1 <= slotCount) return true;
    isEachClosed = false;
  }
  return isEachClosed;
}

/** Returns what is known of all open servers. */
export function capacityView(
  context: ForwardContext,
  request: ForwardRequest,
  times: Pick<CapacityView, "holdMs" | "answerMs">,
): CapacityView {
  const view = { slotCount: 0, loadCount: 0, freeCount: 0, isKnown: false };
  for (const { id, loadCount, slotCount } of openServers(context, request)) {
    view.slotCount += slotCount;
    view.loadCount += loadCount;
    view.freeCount += Math.max(0, Math.floor(slotCount - loadCount));
    if (context.fleet.inFlightCountOf(id) > 0) view.isKnown = true;
    const signAgeMs = context.fleet.workOf(id)?.signAgeMs ?? Infinity;
    if (signAgeMs <= MAX_SIGN_AGE_MS) view.isKnown = true;
  }
  return { ...view, ...times };
}

function* openServers(
  context: ForwardContext,
  request: ForwardRequest,
): Generator<FleetCandidate> {
  const allowsPlace = context.regions.serverPlacesOf(request);
  for (const candidate of context.fleet.readyServers(request.service)) {
    const { server, isSuspect } = candidate;
    if (isSuspect || allowsPlace?.(server.place) === false) continue;
    if (closureOf(context, server) === undefined) yield candidate;
  }
}
