/** Chooses a request's next server from the request and the fleet's state. */
import { choosePlacement, firstUnfilled } from "../../decision/mod.ts";
import { type BackendServer } from "../../model/mod.ts";
import { type FleetCandidate } from "./backend_fleet.ts";
import {
  type ForwardContext,
  type ForwardRequest,
} from "../forwarding/forward_context.ts";
import { crashPartIds } from "../callers/request_digest.ts";
import { prefillKeyOf } from "./prefill_rates.ts";
import { requestSize } from "./request_size.ts";
import { closureOf } from "./server_closure.ts";

/**
 * Delay that one more request causes for an engine's other requests, where the
 * manifest does not describe the engine.
 */
export const ENGINE_LOAD_STEP_MS = 40;
/** Distance counts this much more for a stream, which sends more data. */
const STREAM_DISTANCE_FACTOR = 3;

/** Constraints on a request's next server, from its attempts so far. */
export interface ChoiceConstraints {
  readonly acceptsVersion: (version: string) => boolean;
  readonly triedIds: ReadonlySet<string>;
  readonly model: string | undefined;
  readonly isRetriable: boolean;
}

/**
 * Returns the next server; one tried before only if there is no other. None for
 * a prompt in quarantine.
 */
export function chooseServer(
  context: ForwardContext,
  request: ForwardRequest,
  { acceptsVersion, triedIds, model, isRetriable }: ChoiceConstraints,
): FleetCandidate | undefined {
  const { fleet, prompts, versions, distanceMs, random } = context;
  const { caller, service } = request;
  if (prompts.waitMs(crashPartIds(request)) !== undefined) return undefined;
  const isEngine = caller.promptTokens > 0;
  const query = {
    service,
    engine: isEngine ? context.engineOf(service) : undefined,
    size: requestSize(context, {
      service,
      model: model ?? caller.model,
      promptTokens: caller.promptTokens,
    }),
    acceptsVersion,
    mayProbe: isRetriable,
    isOpen: openServersFor(context, request),
  };
  const untried = fleet.candidates({ ...query, excludedIds: triedIds });
  const candidates = untried.length > 0
    ? untried
    : fleet.candidates({ ...query, excludedIds: new Set() });
  // An engine that runs more requests is slower for each; a slot is not.
  const trial = isEngine ? undefined : versions.loadTrialOf(service);
  if (trial !== undefined) {
    const filled = firstUnfilled(
      candidates.filter(({ server }) => server.version === trial.version),
      trial.failingIds,
    );
    if (filled !== undefined) return filled;
  }
  const sharedPrefix = sharedPrefixOf(request);
  const workMs = fleet.meanServiceTimeMs(service);
  const slotCount = candidates[0]?.slotCount ?? 1;
  const sharedTokens = sharedPrefix?.tokens ?? 0;
  const affinityKey = sharedPrefix === undefined
    ? undefined
    : `${sharedPrefix.id} ${model ?? caller.model ?? ""}`;
  const prefillKey = prefillKeyOf(service, model ?? caller.model);
  const choice = choosePlacement(context.slowStarts.preferOpen(candidates), {
    distanceMs: (place) =>
      distanceMs(place) * (isEngine ? STREAM_DISTANCE_FACTOR : 1),
    loadStepMs: isEngine
      ? ENGINE_LOAD_STEP_MS
      : workMs / Math.max(1, slotCount),
    workMs,
    affinityKey,
    sharedTokens,
    sharedPrefillMs: context.prefill.measuredMs(prefillKey, sharedTokens),
    promptUse: {
      perSecond: (context.vmCount() ?? 1) *
        context.promptRates.perSecond(affinityKey ?? ""),
      holdMs: fleet.meanHoldMs(service),
    },
    isRetriable,
    random,
  });
  if (choice === undefined) return undefined;
  const { candidate, home } = choice;
  if (home === undefined || affinityKey === undefined) return candidate;
  return { ...candidate, placement: { home, affinityKey } };
}

/** Returns a test of whether a server takes the request now. */
function openServersFor(
  context: ForwardContext,
  request: ForwardRequest,
): (server: BackendServer) => boolean {
  const allowsPlace = context.regions.serverPlacesOf(request);
  return (server) =>
    allowsPlace?.(server.place) !== false &&
    closureOf(context, server) === undefined;
}

/** Whether a server has too little memory left for a request. */
export function lacksMemory(
  context: ForwardContext,
  request: ForwardRequest,
): boolean {
  const { caller, service } = request;
  const engine = context.engineOf(service);
  if (engine === undefined || caller.promptTokens === 0) return false;
  const query = {
    service,
    acceptsVersion: () => true,
    excludedIds: new Set<string>(),
    isOpen: openServersFor(context, request),
    mayProbe: true,
  };
  const { promptTokens, model } = caller;
  const size = requestSize(context, { service, model, promptTokens });
  const { fleet } = context;
  return fleet.candidates({ ...query, engine, size }).length <
    fleet.candidates(query).length;
}

/** The longest prefix of a prompt that other requests may share. */
function sharedPrefixOf(
  { caller }: ForwardRequest,
): { readonly id: string; readonly tokens: number } | undefined {
  const parts = caller.promptParts;
  const sharedParts = parts.length > 2 ? parts.slice(0, -1) : parts;
  const lastPart = sharedParts.at(-1);
  if (lastPart === undefined) return undefined;
  let tokens = 0;
  for (const part of sharedParts) tokens += part.tokens;
  return { id: lastPart.id, tokens };
}
