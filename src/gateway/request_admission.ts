/**
 * Decides at a request's head whether it is allowed: a known route, a key that
 * some workspace holds, a manifest in force. Only what a manifest says is
 * refused for good; a VM that knows none yet asks the caller to come back.
 */
import { chooseService } from "../decision/mod.ts";
import { type CallerRequest } from "./protocol.ts";
import { type ForwardRequest } from "./forward_context.ts";
import { type GatewayState } from "./gateway_state.ts";
import { type GatewayRefusal } from "./caller_exchange.ts";

/** A caller may come back to a VM that has just started after this. */
const START_RETRY_MS = 500;

/** An allowed request, still without its body. */
export type AdmittedRequest = Omit<ForwardRequest, "body" | "receivedAtMs">;

/** The request as it is to be forwarded, or its refusal. */
export function admitRequest(
  state: GatewayState,
  caller: CallerRequest,
): AdmittedRequest | GatewayRefusal {
  const { routes } = state;
  if (routes === undefined || !state.isComplete) {
    return { status: 503, reason: "starting", retryAfterMs: START_RETRY_MS };
  }
  const route = routes.find(caller.host, pathOf(caller.target));
  if (route === undefined) return { status: 404, reason: "no_route" };
  const workspace = caller.key === undefined
    ? undefined
    : routes.workspaceOf(caller.key);
  if (routes.needsKey && !route.isPublic && workspace === undefined) {
    return { status: 401, reason: "unknown_key" };
  }
  const service = chooseService(route, caller.session ?? caller.id);
  if (service === undefined) {
    return { status: 503, reason: "no_service", retryAfterMs: START_RETRY_MS };
  }
  const manifestVersion = routes.manifest.version;
  return { caller, route, service, workspace, manifestVersion };
}

function pathOf(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}
