/**
 * The regions in which a request may be served, from the lists of its route and
 * workspace, and the regions whose VMs the directory names to a caller. A list
 * that is empty restricts nothing; an unknown region in a list matches no
 * server, so it never widens what the list allows.
 */
import { type Manifest } from "../model/mod.ts";

/** Regions in which a request may be served; `undefined` for anywhere. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/** A route or workspace, by the regions that it names. */
export interface RegionList {
  readonly permittedRegions: readonly string[];
}

/** Names in each part of the faults of a manifest. */
const MAX_FAULT_NAMES = 20;

/** Returns the regions that all lists allow. */
export function commonRegions(lists: Iterable<RegionList>): AllowedRegions {
  let common: AllowedRegions;
  for (const { permittedRegions } of lists) {
    if (permittedRegions.length === 0) continue;
    common = intersectRegions(common, new Set(permittedRegions));
  }
  return common;
}

/** Returns the regions that both allow. */
export function intersectRegions(
  a: AllowedRegions,
  b: AllowedRegions,
): AllowedRegions {
  if (a === undefined || b === undefined) return a ?? b;
  return new Set([...a].filter((region) => b.has(region)));
}

/** Whether a server may get a request; one without a region only if any may. */
export function isAllowedRegion(
  allowed: AllowedRegions,
  region: string | undefined,
): boolean {
  return allowed === undefined || (region !== undefined && allowed.has(region));
}

/** Whether a VM of a region may get the body of a request. */
export function mayGetBody(
  region: string | undefined,
  { permittedRegions, callerRegion }: {
    readonly permittedRegions: AllowedRegions;
    /** The caller's own region, if it is known. */
    readonly callerRegion: string | undefined;
  },
): boolean {
  if (isAllowedRegion(permittedRegions, region)) return true;
  return region !== undefined && region === callerRegion;
}

/** What the directory knows of a caller, and of the routes of its host. */
export interface EntryRegionQuery {
  readonly callerRegion: string | undefined;
  /** The region of the VM that answers. */
  readonly ownRegion: string | undefined;
  /** The routes of the host. */
  readonly routes: readonly RegionList[];
  /** The regions that all workspaces with regions allow. */
  readonly workspaceRegions: AllowedRegions;
}

/**
 * Returns groups of regions, the best first: the VMs of the first group with a
 * live one are named. Empty if neither routes nor workspaces name regions. The
 * caller's own region is permitted for every route, so it is in each group.
 */
export function entryRegionGroups(
  { callerRegion, ownRegion, routes, workspaceRegions }: EntryRegionQuery,
): ReadonlySet<string>[] {
  const routeRegions = commonRegions(routes);
  if (routeRegions === undefined && workspaceRegions === undefined) return [];
  const assumedRegion = callerRegion === undefined ? ownRegion : undefined;
  const anyRouteRegions = routes.flatMap((route) => route.permittedRegions);
  const groups: Iterable<string>[] = [
    intersectRegions(routeRegions, workspaceRegions) ?? [],
    routeRegions ?? [],
    assumedRegion === undefined ? [] : [assumedRegion],
    anyRouteRegions,
  ];
  const callerRegions = callerRegion === undefined ? [] : [callerRegion];
  return groups.map((regions) => new Set([...callerRegions, ...regions]))
    .filter(({ size }) => size > 0);
}

/** Entries of a manifest whose regions allow less than was probably meant. */
export interface RegionFaults {
  readonly unknownRegions: readonly string[];
  /** Routes and workspaces that name only unknown regions. */
  readonly refusedNames: readonly string[];
  /** Pairs of a route and a workspace that have no region in common. */
  readonly disjointPairs: readonly string[];
}

/** Returns the faults of a manifest, a few names of each; undefined if none. */
export function regionFaults(
  { routes, workspaces = [] }: Manifest,
  isKnown: (region: string) => boolean,
): RegionFaults | undefined {
  const restrictedRoutes = routes.filter(isRestricted);
  const restrictedWorkspaces = workspaces.filter(isRestricted);
  const entries = [...restrictedRoutes, ...restrictedWorkspaces];
  const unknownRegions = new Set<string>();
  const refusedNames: string[] = [];
  for (const { name, permittedRegions } of entries) {
    const unknown = permittedRegions.filter((region) => !isKnown(region));
    for (const region of unknown) unknownRegions.add(region);
    if (unknown.length === permittedRegions.length) refusedNames.push(name);
  }
  const disjointPairs: string[] = [];
  for (const route of restrictedRoutes) {
    for (const workspace of restrictedWorkspaces) {
      if (disjointPairs.length >= MAX_FAULT_NAMES) break;
      if (commonRegions([route, workspace])?.size !== 0) continue;
      disjointPairs.push(`${route.name}/${workspace.name}`);
    }
  }
  if (unknownRegions.size === 0 && disjointPairs.length === 0) return undefined;
  return {
    unknownRegions: [...unknownRegions].slice(0, MAX_FAULT_NAMES),
    refusedNames: refusedNames.slice(0, MAX_FAULT_NAMES),
    disjointPairs,
  };
}

function isRestricted({ permittedRegions }: RegionList): boolean {
  return permittedRegions.length > 0;
}
