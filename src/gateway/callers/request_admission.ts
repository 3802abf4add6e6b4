/**
 * Decides from a request's head whether to admit it: the manifest in force must
 * have a matching route, and a key that the route needs must belong to a
 * workspace. Only a manifest in force leads to a final refusal; without one,
 * the refusal has a retry delay.
 */
import { chooseService, commonRegions } from "../../decision/mod.ts";
import { type CallerRequest, pathOf } from "../protocol.ts";
import { type ForwardRequest } from "../forwarding/forward_context.ts";
import { type GatewayState } from "../gateway_state.ts";
import { type RequestRegions } from "../servers/request_regions.ts";
import { type GatewayRefusal } from "./caller_exchange.ts";

/** Retry delay sent while the VM starts or a service is missing. */
const RETRY_AFTER_MS = 500;

/** An admitted request whose body has not been received yet. */
export type AdmittedRequest = Omit<
  ForwardRequest,
  "body" | "digest" | "receivedAtMs"
>;

/** Returns the request to forward, or its refusal. */
export function admitRequest(
  { state, regions }: {
    readonly state: GatewayState;
    readonly regions: RequestRegions;
  },
  caller: CallerRequest,
): AdmittedRequest | GatewayRefusal {
  const { routes } = state;
  if (routes === undefined || !state.isComplete) {
    return { status: 503, reason: "starting", retryAfterMs: RETRY_AFTER_MS };
  }
  const route = routes.find(caller.host, pathOf(caller));
  if (route === undefined) return { status: 404, reason: "no_route" };
  const workspace = routes.workspaceOf(caller.key);
  if (routes.needsKey && !route.isPublic && workspace === undefined) {
    return { status: 401, reason: "unknown_key" };
  }
  const service = chooseService(route, caller.session ?? caller.id);
  if (service === undefined) {
    return { status: 503, reason: "no_service", retryAfterMs: RETRY_AFTER_MS };
  }
  return {
    caller,
    route,
    service,
    workspace,
    manifestVersion: routes.manifest.version,
    permittedRegions: commonRegions([
      route,
      ...workspace === undefined ? [] : [workspace],
    ]),
    callerRegion: regions.callerRegionOf(caller),
  };
}
