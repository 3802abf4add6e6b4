/** Starts one attempt of a request at its target. */
import { type Attempt, type AttemptListeners } from "./attempt.ts";
import { type FleetCandidate } from "../servers/backend_fleet.ts";
import { type ForwardContext, type ForwardRequest } from "./forward_context.ts";
import { ServerAttempt } from "../servers/server_attempt.ts";
import { VmAttempt } from "./vm_attempt.ts";
import { type RelayVm } from "./vm_relays.ts";

/** Where an attempt goes. */
export type AttemptTarget =
  | { readonly kind: "server"; readonly candidate: FleetCandidate }
  | { readonly kind: "vm"; readonly vm: RelayVm };

/** What differs between the attempts of a request. */
export interface AttemptStart extends AttemptListeners {
  readonly target: AttemptTarget;
  readonly deadlineLeftMs: number;
  /** How often another VM may have the request run. */
  readonly maxRunCount: number;
  /** The chosen model; `undefined` keeps the caller's choice. */
  readonly model: string | undefined;
  readonly lastEventId: string | undefined;
  readonly isStreaming: boolean;
}

/** Starts an attempt. */
export function startAttempt(
  context: ForwardContext,
  request: ForwardRequest,
  start: AttemptStart,
): Attempt {
  const {
    target,
    deadlineLeftMs,
    maxRunCount,
    model,
    lastEventId,
    ...options
  } = start;
  const { caller, callerRegion, route, workspace, body, digest } = request;
  if (target.kind === "vm") {
    return new VmAttempt({
      ...options,
      context,
      vm: target.vm,
      body,
      request: {
        caller,
        callerRegion,
        maxRunCount,
        deadlineLeftMs,
        model,
        lastEventId,
      },
    });
  }
  const { server, placement } = target.candidate;
  if (placement !== undefined) {
    const { home, affinityKey } = placement;
    context.promptRates.record(affinityKey);
    context.metrics.count("prompt_homes", { service: server.service, home });
  }
  return new ServerAttempt({
    ...options,
    context,
    server,
    route: route.name,
    body,
    digest,
    request: {
      caller,
      backend: server,
      workspace: workspace?.name,
      deadlineLeftMs,
      model,
      lastEventId,
      priority: workspace?.priority ?? route.priority,
    },
  });
}
