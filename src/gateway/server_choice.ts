/** Puts what is known of a request and of the servers to the choice of one. */
import { chooseBackend } from "../decision/mod.ts";
import { type FleetCandidate } from "./backend_fleet.ts";
import { type ForwardContext, type ForwardRequest } from "./forward_context.ts";

/** What one more request costs an engine's other requests. */
const ENGINE_LOAD_STEP_MS = 40;
/** A stream and its prompt send that much more over a distance. */
const STREAM_DISTANCE_FACTOR = 3;

/** Where a request stands when its next server is sought. */
export interface ChoiceConstraints {
  readonly acceptsVersion: (version: string) => boolean;
  readonly triedIds: ReadonlySet<string>;
  readonly model: string | undefined;
  readonly isRetriable: boolean;
}

/** The next server; one that was tried only where there is no other. */
export function chooseServer(
  { fleet, distanceMs, random }: ForwardContext,
  request: ForwardRequest,
  { acceptsVersion, triedIds, model, isRetriable: isRepeatable }:
    ChoiceConstraints,
): FleetCandidate | undefined {
  const { caller, service } = request;
  const query = { service, acceptsVersion, mayProbe: isRepeatable };
  const untried = fleet.candidates({ ...query, excludedIds: triedIds });
  const candidates = untried.length > 0
    ? untried
    : fleet.candidates({ ...query, excludedIds: new Set() });
  const shared = sharedPartOf(request);
  const workMs = fleet.meanServiceTimeMs(service);
  const slotCount = candidates[0]?.slotCount ?? 1;
  const isEngine = caller.promptTokens > 0;
  return chooseBackend(candidates, {
    distanceMs: (place) =>
      distanceMs(place) * (isEngine ? STREAM_DISTANCE_FACTOR : 1),
    loadStepMs: isEngine
      ? ENGINE_LOAD_STEP_MS
      : workMs / Math.max(1, slotCount),
    workMs,
    affinityKey: shared === undefined
      ? undefined
      : `${shared.id} ${model ?? caller.model ?? ""}`,
    sharedTokens: shared?.tokens ?? 0,
    isRetriable: isRepeatable,
    random,
  });
}

/** The longest run of a prompt that other requests share. */
function sharedPartOf(
  { caller }: ForwardRequest,
): { readonly id: string; readonly tokens: number } | undefined {
  const parts = caller.promptParts;
  const last = parts.length > 2 ? parts.slice(0, -1) : parts;
  const key = last.at(-1);
  if (key === undefined) return undefined;
  let tokens = 0;
  for (const part of last) tokens += part.tokens;
  return { id: key.id, tokens };
}
