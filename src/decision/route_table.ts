/**
 * An index of a manifest: routes by host and longest path prefix, and
 * workspaces by key. A request takes a few map look-ups, whatever the number of
 * routes.
 */
import { type AllowedRegions, commonRegions } from "./allowed_regions.ts";
import {
  hashShare,
  type Manifest,
  type ServiceRoute,
  type ServiceTraits,
  type WorkspaceAccess,
} from "../model/mod.ts";

/** The index of one manifest; immutable. */
export class RouteTable {
  readonly manifest: Manifest;
  /** The regions that all workspaces with regions allow. */
  readonly workspaceRegions: AllowedRegions;
  readonly #routes = new Map<string, Map<string, ServiceRoute>>();
  readonly #workspaces = new Map<string, WorkspaceAccess>();
  readonly #traits = new Map<string, ServiceTraits>();

  constructor(manifest: Manifest) {
    this.manifest = manifest;
    for (const route of manifest.routes) {
      const byPrefix = this.#routes.get(route.host) ?? new Map();
      byPrefix.set(route.routePrefix, route);
      this.#routes.set(route.host, byPrefix);
    }
    this.workspaceRegions = commonRegions(manifest.workspaces ?? []);
    for (const traits of manifest.services) {
      this.#traits.set(traits.name, traits);
    }
    for (const workspace of manifest.workspaces ?? []) {
      for (const key of workspace.keys) this.#workspaces.set(key, workspace);
    }
  }

  /** Returns the route with the longest prefix of the path, if any. */
  find(host: string, path: string): ServiceRoute | undefined {
    const byPrefix = this.#routes.get(host);
    if (byPrefix === undefined) return undefined;
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = byPrefix.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) return undefined;
      end = path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  /** Returns all routes of a host. */
  routesOf(host: string): ServiceRoute[] {
    return [...this.#routes.get(host)?.values() ?? []];
  }

  /** Whether requests on non-public routes need a key. */
  get needsKey(): boolean {
    return this.manifest.workspaces !== undefined;
  }

  /** Returns the traits of a service, if the manifest names any. */
  traitsOf(service: string): ServiceTraits | undefined {
    return this.#traits.get(service);
  }

  /** The services that the manifest describes or that its routes lead to. */
  get services(): ReadonlySet<string> {
    const { services, routes } = this.manifest;
    return new Set([
      ...services.map(({ name }) => name),
      ...routes.flatMap((route) =>
        route.services.map(({ service }) => service)
      ),
    ]);
  }

  /** Returns the workspace of a key, if any. */
  workspaceOf(key: string | undefined): WorkspaceAccess | undefined {
    return key === undefined ? undefined : this.#workspaces.get(key);
  }
}

/** Chooses a service by weight; the same key always gets the same one. */
export function chooseService(
  route: ServiceRoute,
  key: string,
): string | undefined {
  const { services } = route;
  if (services.length <= 1) return services[0]?.service;
  let total = 0;
  for (const { weight } of services) total += weight;
  let left = hashShare(`${route.name} ${key}`) * total;
  for (const { service, weight } of services) {
    left -= weight;
    if (left < 0) return service;
  }
  return services.findLast(({ weight }) => weight > 0)?.service;
}
