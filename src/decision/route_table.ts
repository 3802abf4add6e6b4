/**
 * Routes by host and longest path prefix, and workspaces by key, prepared from
 * a manifest so that a request costs a few look-ups however many routes there
 * are.
 */
import {
  hashShare,
  type Manifest,
  type ServiceRoute,
  type WorkspaceAccess,
} from "../model/mod.ts";

/** A manifest prepared for requests; immutable. */
export class RouteTable {
  readonly manifest: Manifest;
  readonly #routes = new Map<string, Map<string, ServiceRoute>>();
  readonly #workspaces = new Map<string, WorkspaceAccess>();

  constructor(manifest: Manifest) {
    this.manifest = manifest;
    for (const route of manifest.routes) {
      const byPrefix = this.#routes.get(route.host) ?? new Map();
      byPrefix.set(route.routePrefix, route);
      this.#routes.set(route.host, byPrefix);
    }
    for (const workspace of manifest.workspaces ?? []) {
      for (const key of workspace.keys) this.#workspaces.set(key, workspace);
    }
  }

  /** The route with the longest prefix that begins the path, if any. */
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

  /** Whether requests on routes that are not public need a key. */
  get needsKey(): boolean {
    return this.manifest.workspaces !== undefined;
  }

  /** The workspace that holds a key. */
  workspaceOf(key: string): WorkspaceAccess | undefined {
    return this.#workspaces.get(key);
  }
}

/** The service for one request, by weight; the same key gets the same one. */
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
