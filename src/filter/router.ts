/**
 * Chooses the backend server of each attempt. The route decision scores the
 * directory's servers by load, delay and price, and by the location of the
 * conversation's cached prefix.
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

/** The router's view of the backend servers. */
export interface ServerTable {
  views(service: string, workKind: string): ServerView[];
  addressOf(server: string): string | undefined;
  begin(server: string, workKind: string): ServerUse;
}

/** Network delay and egress price to a data centre. */
export interface Distance {
  readonly delayMs: number;
  readonly egressMicroEurPerMb: number;
}

/** The work that a server is chosen for. */
export interface RouteQuery {
  readonly service: string;
  readonly version: VersionName | undefined;
  readonly requestClass: RequestClass;
  readonly leftMs: number;
  readonly excluded: ReadonlySet<string>;
  /** The server of a resumed stream; used if it is taking work. */
  readonly preferredServer?: string | undefined;
  /** Key of the conversation whose prefix may be cached. */
  readonly prefixKey: string | undefined;
  readonly transferBytes: number;
}

/** A chosen server, counted as in use until `use` is finished. */
export interface RouteTarget {
  readonly server: string;
  readonly address: string;
  readonly use: ServerUse;
}

/** Dependencies of a router. */
export interface RouterOptions {
  readonly table: ServerTable;
  readonly prefixLocations: PrefixLocations;
  readonly distanceTo: (place: string) => Distance;
  readonly clock: Clock;
  readonly random: Random;
  readonly policy?: RoutePolicy;
}

/** Chooses a server for one attempt and starts counting its use. */
export type Router = (
  query: RouteQuery,
) => Result<RouteTarget, NoRouteReason>;

export function createRouter(options: RouterOptions): Router {
  return (query) => {
    const views = options.table.views(query.service, workKindOf(query));
    const request = {
      ...query,
      prefixShareOf: (server: string): number =>
        options.prefixLocations.cachedShareAt(query.prefixKey, server),
    };
    const routeOptions: RouteOptions = {
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
    const preferred = chooseServer(
      preferServer(views, query.preferredServer),
      request,
      routeOptions,
    );
    const choice = preferred.kind === "none"
      ? chooseServer(views, request, routeOptions)
      : preferred;
    if (choice.kind === "none") return err(choice.reason);
    const { server } = choice.chosen.view;
    const address = options.table.addressOf(server);
    if (address === undefined) return err("none_loaded");
    options.prefixLocations.record(query.prefixKey, server);
    return ok({
      server,
      address,
      use: options.table.begin(server, workKindOf(query)),
    });
  };
}

/** Returns the kind of work; durations of one kind are comparable. */
function workKindOf({ service, version, requestClass }: RouteQuery): string {
  return version === undefined ? service : `${version} ${requestClass}`;
}

function preferServer(
  views: readonly ServerView[],
  preferredServer: string | undefined,
): readonly ServerView[] {
  if (preferredServer === undefined) return views;
  const found = views.filter((view) =>
    view.server === preferredServer && view.isTakingWork
  );
  return found.length > 0 ? found : views;
}
