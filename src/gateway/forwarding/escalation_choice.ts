/**
 * Whether the answer of a request's model is replaced by one of a larger model,
 * from the model's confidence and the load that the larger model would meet.
 */
import { escalationPressure, nextModel } from "../../decision/mod.ts";
import { isRetriable } from "../../model/mod.ts";
import { type FleetCandidate } from "../servers/backend_fleet.ts";
import { type ForwardContext, type ForwardRequest } from "./forward_context.ts";
import { prefillKeyOf } from "../servers/prefill_rates.ts";
import { chooseServer, ENGINE_LOAD_STEP_MS } from "../servers/server_choice.ts";

const NO_IDS: ReadonlySet<string> = new Set();

/** The answer at hand, and what limits the request's next attempt. */
export interface EscalationConstraints {
  /** The model's confidence is absent if it reported none. */
  readonly answer: {
    readonly model: string;
    readonly confidence: number | undefined;
  };
  readonly timeLeftMs: number;
  readonly acceptsVersion: (version: string) => boolean;
}

/** Returns the model to escalate to; undefined if the answer is used. */
export function chooseEscalation(
  context: ForwardContext,
  request: ForwardRequest,
  constraints: EscalationConstraints,
): string | undefined {
  const { route, service } = request;
  const answer = { ...constraints.answer, models: route.models };
  const next = nextModel({ ...answer, pressureShare: 0 });
  if (next === undefined) return undefined;
  const pressureShare = pressureOn(context, request, { ...constraints, next });
  const isWorthwhile = pressureShare !== undefined &&
    nextModel({ ...answer, pressureShare }) !== undefined;
  if (isWorthwhile) return next;
  context.metrics.count("escalations_forgone", { service });
  return undefined;
}

/** Returns the pressure on the larger model; undefined without a server. */
function pressureOn(
  context: ForwardContext,
  request: ForwardRequest,
  { next, timeLeftMs, acceptsVersion }: EscalationConstraints & {
    readonly next: string;
  },
): number | undefined {
  const { caller, route, service, workspace } = request;
  const candidate = chooseServer(context, request, {
    acceptsVersion,
    triedIds: NO_IDS,
    model: next,
    isRetriable: isRetriable(route),
  });
  if (candidate === undefined) return undefined;
  return escalationPressure({
    waitMs: expectedWaitMs(candidate),
    prefillMs: context.prefill.estimateMs(
      prefillKeyOf(service, next),
      caller.promptTokens,
    ),
    targetMs: route.targetMs,
    timeLeftMs,
    priority: workspace?.priority ?? route.priority,
  });
}

/** The wait for the prompts that are known, or for the requests running. */
function expectedWaitMs(
  { waitMs, loadCount, estimate }: FleetCandidate,
): number {
  if (estimate !== undefined) return estimate.waitMs;
  return Math.max(waitMs, loadCount * ENGINE_LOAD_STEP_MS);
}
