/**
 * Which servers and VMs a request may go to, by the regions that it allows. A
 * request may be sent again after a newer manifest came into force; it then
 * complies with both manifests.
 */
import {
  type AllowedRegions,
  commonRegions,
  intersectRegions,
  isAllowedRegion,
  mayGetBody,
  regionFaults,
  type RouteTable,
} from "../../decision/mod.ts";
import { type Logger, type Manifest } from "../../model/mod.ts";
import { type PlaceRegion } from "../gateway_settings.ts";
import { type CallerRequest, pathOf } from "../protocol.ts";

/** The parts of a request on which its regions depend. */
export interface RegionalRequest {
  readonly caller: CallerRequest;
  readonly manifestVersion: number;
  readonly permittedRegions: AllowedRegions;
  readonly callerRegion: string | undefined;
}

export interface RequestRegionsOptions {
  /** The data centre of this VM. */
  readonly place: string;
  readonly places: readonly PlaceRegion[];
  /** The routes of the manifest in force. */
  readonly routes: () => RouteTable | undefined;
  readonly logger: Logger;
}

/** Bound on the log lines about manifests of one process. */
const MAX_FAULT_LINES = 100;

export class RequestRegions {
  readonly #options: RequestRegionsOptions;
  readonly #regions: ReadonlyMap<string, string>;
  #faultLineCount = 0;

  constructor(options: RequestRegionsOptions) {
    this.#options = options;
    this.#regions = new Map(
      options.places.map(({ place, region }) => [place, region]),
    );
  }

  /** The region of this VM. */
  get ownRegion(): string | undefined {
    return this.regionOf(this.#options.place);
  }

  /** Returns the region of a data centre; undefined for an unknown one. */
  regionOf(place: string): string | undefined {
    return this.#regions.get(place);
  }

  /** Whether a data centre lies in a region. */
  isKnown(region: string): boolean {
    for (const known of this.#regions.values()) {
      if (known === region) return true;
    }
    return false;
  }

  /**
   * Returns the region of a request's caller. A VM that got the request from
   * another VM knows it only from that VM.
   */
  callerRegionOf({ isRelayed, callerRegion }: CallerRequest):
    | string
    | undefined {
    return isRelayed ? callerRegion : this.ownRegion;
  }

  /**
   * Returns which data centres' servers may get the request; undefined if all
   * may.
   */
  serverPlacesOf(
    request: RegionalRequest,
  ): ((place: string) => boolean) | undefined {
    const allowed = this.#permittedRegionsOf(request);
    if (allowed === undefined) return undefined;
    return (place) => isAllowedRegion(allowed, this.regionOf(place));
  }

  /** Returns which data centres' VMs may get the request's body. */
  vmPlacesOf(request: RegionalRequest): (place: string) => boolean {
    const { callerRegion } = request;
    const permittedRegions = this.#permittedRegionsOf(request);
    return (place) =>
      mayGetBody(this.regionOf(place), { permittedRegions, callerRegion });
  }

  /** Logs regions of a manifest by which requests are refused. */
  logFaults(manifest: Manifest): void {
    const faults = regionFaults(manifest, (region) => this.isKnown(region));
    if (faults === undefined) return;
    if (this.#faultLineCount >= MAX_FAULT_LINES) return;
    this.#faultLineCount += 1;
    this.#options.logger.warn("regions that allow nothing", {
      version: manifest.version,
      unknownRegions: faults.unknownRegions.join(" "),
      refused: faults.refusedNames.join(" "),
      withoutCommonRegion: faults.disjointPairs.join(" "),
    });
  }

  #permittedRegionsOf(request: RegionalRequest): AllowedRegions {
    const { caller, manifestVersion, permittedRegions } = request;
    const routes = this.#options.routes();
    if (routes === undefined || routes.manifest.version === manifestVersion) {
      return permittedRegions;
    }
    const route = routes.find(caller.host, pathOf(caller));
    const workspace = routes.workspaceOf(caller.key);
    const inForce = [route, workspace].filter((list) => list !== undefined);
    return intersectRegions(permittedRegions, commonRegions(inForce));
  }
}
