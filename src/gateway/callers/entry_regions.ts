/**
 * Which VMs a caller is told, by its region and the regions that the routes of
 * its host allow. The directory knows neither the path nor the key of a caller's
 * requests, so it names VMs that are permitted for all of them, if there are any.
 */
import { entryRegionGroups, type RouteTable } from "../../decision/mod.ts";
import { type Logger } from "../../model/mod.ts";
import { type RequestRegions } from "../servers/request_regions.ts";

/** A caller that asks for the addresses of VMs. */
export interface EntryCaller {
  /** Host name that it sends requests to, in lower case without a port. */
  readonly host?: string | undefined;
  readonly region?: string | undefined;
  /** The caller's data centre, if it named one. */
  readonly place: string | undefined;
}

/** How regions restrict the VMs that a caller is told. */
export interface EntryRegionChoice {
  /** The caller's region, if it is known. */
  readonly region: string | undefined;
  /** Groups of data centres, the best first; empty for all alike. */
  readonly placeGroups: readonly ((place: string) => boolean)[];
}

export interface EntryRegionsOptions {
  readonly regions: RequestRegions;
  /** The routes of the manifest in force. */
  readonly routes: () => RouteTable | undefined;
  readonly logger: Logger;
}

const UNRESTRICTED: EntryRegionChoice = { region: undefined, placeGroups: [] };
/** Bound on the log lines about unknown names of one process. */
const MAX_UNKNOWN_NAMES = 100;
/** Longer names are cut in the log. */
const MAX_LOGGED_LENGTH = 64;

export class EntryRegions {
  readonly #options: EntryRegionsOptions;
  readonly #unknownNames = new Set<string>();

  constructor(options: EntryRegionsOptions) {
    this.#options = options;
  }

  /** Returns the restriction for a caller; none unless its host has one. */
  choiceFor(caller: EntryCaller): EntryRegionChoice {
    const { regions, routes } = this.#options;
    const table = routes();
    if (table === undefined) return UNRESTRICTED;
    const isKnownRegion = caller.region !== undefined &&
      regions.isKnown(caller.region);
    const region = isKnownRegion
      ? caller.region
      : regions.regionOf(caller.place ?? "");
    const groups = entryRegionGroups({
      callerRegion: region,
      ownRegion: regions.ownRegion,
      routes: table.routesOf(caller.host ?? ""),
      workspaceRegions: table.workspaceRegions,
    });
    if (groups.length === 0) return UNRESTRICTED;
    this.#logUnknown(caller);
    const placeGroups = groups.map((group) => (place: string): boolean =>
      group.has(regions.regionOf(place) ?? "")
    );
    return { region, placeGroups };
  }

  #logUnknown({ region, place }: EntryCaller): void {
    const { regions } = this.#options;
    if (region !== undefined && !regions.isKnown(region)) {
      this.#logOnce({ callerRegion: region.slice(0, MAX_LOGGED_LENGTH) });
    }
    if (place !== undefined && regions.regionOf(place) === undefined) {
      this.#logOnce({ callerPlace: place.slice(0, MAX_LOGGED_LENGTH) });
    }
  }

  #logOnce(fields: Readonly<Record<string, string>>): void {
    const key = JSON.stringify(fields);
    if (this.#unknownNames.has(key)) return;
    if (this.#unknownNames.size >= MAX_UNKNOWN_NAMES) return;
    this.#unknownNames.add(key);
    this.#options.logger.warn("unknown location of a caller", fields);
  }
}
