/** Replays the choice of a server for the `route` events of a trace. */
import {
  chooseServer,
  CLOSED_BREAKER,
  DEFAULT_LOAD_PRIOR,
  DEFAULT_ROUTE_WEIGHTS,
  type RouteContext,
  type ServerView,
  twoChoices,
} from "../decision/mod.ts";
import { type TraceEventOf } from "./trace_event.ts";

const FIRST_TOKEN_MS = 100;
const SERVICE_MS = 1000;
const OPEN_UNTIL_MS = 60_000;

/** Returns the chosen server as a list; empty for none. */
export function chosenServers(event: TraceEventOf<"route">): string[] {
  const choice = chooseServer(event.servers.map(viewOf), {
    version: event.version,
    requestClass: event.requestClass,
    leftMs: event.leftMs,
    excluded: new Set(),
    prefixShareOf: () => 0,
    transferBytes: 0,
  }, { context: contextOf(event), policy: twoChoices });
  return choice.kind === "server" ? [choice.chosen.view.server] : [];
}

function contextOf(event: TraceEventOf<"route">): RouteContext {
  const delays = new Map(
    event.servers.map((server) => [server.place, server.delayMs]),
  );
  return {
    nowMs: 0,
    random: () => event.random,
    prior: DEFAULT_LOAD_PRIOR,
    delayMsTo: (place) => delays.get(place) ?? 0,
    egressMicroEurPerMbTo: () => 0,
    weights: DEFAULT_ROUTE_WEIGHTS,
  };
}

function viewOf(server: TraceEventOf<"route">["servers"][number]): ServerView {
  const { runningCount, queuedCount, slotCount } = server;
  return {
    server: server.server,
    place: server.place,
    versions: new Set(server.versions),
    isTakingWork: server.isTakingWork,
    breaker: server.isBreakerOpen
      ? { ...CLOSED_BREAKER, phase: "open", openUntilMs: OPEN_UNTIL_MS }
      : CLOSED_BREAKER,
    firstTokenMs: FIRST_TOKEN_MS,
    serviceMs: SERVICE_MS,
    firstUsedAtMs: undefined,
    report: {
      runningCount,
      queuedCount,
      slotCount,
      ownInFlightCount: 0,
      readAtMs: 0,
    },
    ownInFlightCount: 0,
  };
}
