/**
 * Chooses the backend server of each attempt: the directory's views, scored by
 * the route decision with the settings' prices, and what this VM remembers of
 * where a conversation's prefix was last computed.
 */
import { err, ok, type Result } from "neverthrow";
import {
  chooseServer,
  DEFAULT_LOAD_PRIOR,
  DEFAULT_ROUTE_WEIGHTS,
  type NoRouteReason,
  type RouteOptions,
  type RoutePolicy,
  type ServerView,
  twoChoices,
} from "../decision/mod.ts";
import {
  type Clock,
  type Random,
  type RequestClass,
  type VersionName,
} from "../model/mod.ts";
import { type ServerUse } from "../client/mod.ts";
import { type PrefixLocations } from "./prefix_locations.ts";

/** What a router reads of the backend servers. */
export interface ServerTable {
  views(service: string, work: string): ServerView[];
  addressOf(server: string): string | undefined;
  begin(server: string, work: string): ServerUse;
}

/** Delay and price of the way to a place. */
export interface Distance {
  readonly delayMs: number;
  readonly egressMicroEurPerMb: number;
}

/** What a server is wanted for. */
export interface RouteQuery {
  readonly service: string;
  readonly version: VersionName | undefined;
  readonly requestClass: RequestClass;
  readonly leftMs: number;
  readonly excluded: ReadonlySet<string>;
  /** The server that a resumed stream goes to, unless it takes none now. */
  readonly preferredServer?: string | undefined;
  /** Names the conversation whose prefix may be cached. */
  readonly prefixKey: string | undefined;
  readonly transferBytes: number;
}

/** A chosen server, counted as used until `use` is finished. */
export interface RouteTarget {
  readonly server: string;
  readonly address: string;
  readonly use: ServerUse;
}

/** What a router is made of. */
export interface RouterOptions {
  readonly table: ServerTable;
  readonly prefixLocations: PrefixLocations;
  readonly distanceTo: (place: string) => Distance;
  readonly clock: Clock;
  readonly random: Random;
  readonly policy?: RoutePolicy;
}

/** Chooses a server for one attempt. */
export type Router = (
  query: RouteQuery,
) => Result<RouteTarget, NoRouteReason>;

/** Creates a router. */
export function createRouter(options: RouterOptions): Router {
  return (query) => {
    const views = options.table.views(query.service, workKeyOf(query));
    const request = {
      ...query,
      prefixShareOf: (server: string): number =>
        options.prefixLocations.cachedShareAt(query.prefixKey, server),
    };
    const surroundings: RouteOptions = {
      context: {
        nowMs: options.clock(),
        random: options.random,
        prior: DEFAULT_LOAD_PRIOR,
        weights: DEFAULT_ROUTE_WEIGHTS,
        delayMsTo: (place) => options.distanceTo(place).delayMs,
        egressMicroEurPerMbTo: (place) =>
          options.distanceTo(place).egressMicroEurPerMb,
      },
      policy: options.policy ?? twoChoices,
    };
    const narrowed = chooseServer(
      preferServer(views, query.preferredServer),
      request,
      surroundings,
    );
    const choice = narrowed.kind === "none"
      ? chooseServer(views, request, surroundings)
      : narrowed;
    if (choice.kind === "none") return err(choice.reason);
    const { server } = choice.chosen.view;
    const address = options.table.addressOf(server);
    if (address === undefined) return err("none_loaded");
    options.prefixLocations.note(query.prefixKey, server);
    return ok({
      server,
      address,
      use: options.table.begin(server, workKeyOf(query)),
    });
  };
}

/** The kind of work that durations are compared within. */
function workKeyOf({ service, version, requestClass }: RouteQuery): string {
  return version === undefined ? service : `${version} ${requestClass}`;
}

function preferServer(
  views: readonly ServerView[],
  only: string | undefined,
): readonly ServerView[] {
  if (only === undefined) return views;
  const found = views.filter((view) =>
    view.server === only && view.isTakingWork
  );
  return found.length > 0 ? found : views;
}
