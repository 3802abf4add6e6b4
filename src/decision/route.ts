/**
 * Chooses the backend server of a version for a request. Candidates are
 * filtered and scored in milliseconds of delay, with money converted at a rate
 * of the request class; a policy then picks among them.
 */
import {
  type Random,
  type RequestClass,
  type VersionName,
} from "../model/mod.ts";
import { type BreakerState, isBreakerPassing } from "./breaker.ts";
import { estimateLoad, type LoadPrior, type LoadView } from "./load.ts";

/** The state of one backend server that the choice of a route depends on. */
export interface ServerView extends LoadView {
  readonly server: string;
  readonly place: string;
  /** Loaded versions; `undefined` before the server's first report. */
  readonly versions: ReadonlySet<VersionName> | undefined;
  readonly isTakingWork: boolean;
  readonly breaker: BreakerState;
  /** Time to the first token on an idle slot, without the network. */
  readonly firstTokenMs: number;
  /** Time for which one request occupies a slot. */
  readonly serviceMs: number;
  /** When this VM first sent work to the server; `undefined` before that. */
  readonly firstUsedAtMs: number | undefined;
}

export interface RouteRequest {
  /** `undefined` for a plain service. */
  readonly version: VersionName | undefined;
  readonly requestClass: RequestClass;
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  /** Servers already attempted for this request. */
  readonly excluded: ReadonlySet<string>;
  /** Expected share of the prompt found in a server's prefix cache. */
  readonly prefixShareOf: (server: string) => number;
  /** Bytes expected over the link to the server, both ways. */
  readonly transferBytes: number;
}

/** Conversion of money and warm-up to delay, and the tolerance. */
export interface RouteWeights {
  /** Milliseconds of delay that one micro-euro is worth, by class. */
  readonly msPerMicroEur: Readonly<Record<RequestClass, number>>;
  /** Time over which a new server reaches its full share of requests. */
  readonly slowStartMs: number;
  /** Delay added for each request in flight at first use of a new server. */
  readonly slowStartPenaltyMs: number;
  /** Candidates within this delay of the best count as equally good. */
  readonly toleranceMs: number;
}

/** Time, random source and network costs of a choice. */
export interface RouteContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly prior: LoadPrior;
  /** One-way network delay to a place. */
  readonly delayMsTo: (place: string) => number;
  readonly egressMicroEurPerMbTo: (place: string) => number;
  readonly weights: RouteWeights;
}

/** A candidate with its expected delay to the first token. */
export interface ScoredServer {
  readonly view: ServerView;
  readonly firstTokenMs: number;
  readonly scoreMs: number;
}

/** Picks one of the candidates; there is always at least one. */
export type RoutePolicy = (
  candidates: readonly ScoredServer[],
  context: RouteContext,
) => ScoredServer;

/** Reason for which no server was chosen. */
export type NoRouteReason = "none_loaded" | "none_passing" | "too_late";

export type RouteChoice =
  | { readonly kind: "server"; readonly chosen: ScoredServer }
  | { readonly kind: "none"; readonly reason: NoRouteReason };

export interface RouteOptions {
  readonly context: RouteContext;
  readonly policy: RoutePolicy;
}

const BYTES_PER_MB = 1_000_000;

/** Weights that favour speed for lookups and low cost for reviews. */
export const DEFAULT_ROUTE_WEIGHTS: RouteWeights = {
  msPerMicroEur: { lookup: 0.2, tagging: 2, drafting: 2, review: 20 },
  slowStartMs: 10_000,
  slowStartPenaltyMs: 50,
  toleranceMs: 5,
};

/** Chooses a server for one attempt of a request. */
export function chooseServer(
  views: readonly ServerView[],
  request: RouteRequest,
  { context, policy }: RouteOptions,
): RouteChoice {
  const loaded = views.filter((view) => isCandidate(view, request));
  if (loaded.length === 0) return { kind: "none", reason: "none_loaded" };
  const passing = loaded.filter((view) =>
    isBreakerPassing(view.breaker, context.nowMs)
  );
  if (passing.length === 0) return { kind: "none", reason: "none_passing" };
  const scored = passing.map((view) => scoreServer(view, request, context));
  const timely = scored.filter((candidate) =>
    candidate.firstTokenMs <= request.leftMs
  );
  if (timely.length === 0) return { kind: "none", reason: "too_late" };
  return { kind: "server", chosen: policy(timely, context) };
}

function isCandidate(view: ServerView, request: RouteRequest): boolean {
  if (!view.isTakingWork || request.excluded.has(view.server)) return false;
  if (request.version === undefined) return true;
  return view.versions?.has(request.version) ?? false;
}

/** Returns a server's expected delay to the first token, and its score. */
export function scoreServer(
  view: ServerView,
  request: RouteRequest,
  context: RouteContext,
): ScoredServer {
  const load = estimateLoad(view, context);
  const aheadCount = Math.max(0, load.workCount - load.slotCount + 1);
  const waitMs = aheadCount * view.serviceMs / load.slotCount;
  const missShare = 1 - request.prefixShareOf(view.server);
  const networkMs = 2 * context.delayMsTo(view.place);
  const firstTokenMs = networkMs + waitMs + view.firstTokenMs * missShare;
  const crowdingMs = Math.min(1, load.loadShare) * view.firstTokenMs;
  const scoreMs = firstTokenMs + crowdingMs +
    moneyMs(view, request, context) + slowStartMs(view, context);
  return { view, firstTokenMs, scoreMs };
}

function moneyMs(
  view: ServerView,
  request: RouteRequest,
  context: RouteContext,
): number {
  const priceMicroEur = context.egressMicroEurPerMbTo(view.place) *
    request.transferBytes / BYTES_PER_MB;
  return priceMicroEur * context.weights.msPerMicroEur[request.requestClass];
}

function slowStartMs(view: ServerView, context: RouteContext): number {
  if (view.firstUsedAtMs === undefined) return 0;
  const usedMs = context.nowMs - view.firstUsedAtMs;
  const leftShare = Math.max(0, 1 - usedMs / context.weights.slowStartMs);
  return leftShare * context.weights.slowStartPenaltyMs * view.ownInFlightCount;
}
