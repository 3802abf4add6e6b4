/**
 * The service manifest: the operators' configuration of routes, the services
 * behind them, caller limits and workspaces with their keys. It is one
 * immutable value whose version increases with each change.
 */

/** Whether requests of a route may be retried, and whether answers stream. */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** A service of a route and its share of the route's requests. */
export interface ServiceWeight {
  readonly service: string;
  /** Relative to the other weights of the route. */
  readonly weight: number;
}

/** A host and path prefix with the services behind it. */
export interface ServiceRoute {
  readonly name: string;
  readonly host: string;
  /** Prefix of the paths that match; starts and ends with a slash. */
  readonly routePrefix: string;
  readonly kind: RouteKind;
  /** Time limit of a caller's request. */
  readonly timeoutMs: number;
  /** Latency target of an answer, or of a stream's first event. */
  readonly targetMs: number;
  /** Maximum number of backend servers tried for one request. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  /** Whether an interrupted stream may resume at another backend server. */
  readonly isResumable: boolean;
  /** Target for the pause between two events of a stream. */
  readonly gapTargetMs: number | undefined;
  /** Models that may answer, smallest first; empty if the caller names one. */
  readonly models: readonly string[];
  readonly services: readonly ServiceWeight[];
  /**
   * Regions in which its requests may be served and stored; empty for anywhere.
   */
  readonly permittedRegions: readonly string[];
}

/** Whether a request of the route may run more than once. */
export function isRetriable({ kind, isResumable }: ServiceRoute): boolean {
  return kind === "idempotent" || (kind === "streaming" && isResumable);
}

/** Limits on the size of callers' requests and on their transfer time. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A workspace and the keys that authenticate its callers. */
export interface WorkspaceAccess {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority. */
  readonly priority: number | undefined;
  /** Binds beside the regions of a route; empty for anywhere. */
  readonly permittedRegions: readonly string[];
}

/** What an engine's manifest entry says of its capacity. */
export interface EngineTraits {
  /** Requests that it runs at once. */
  readonly batchSize: number;
  /** Tokens that running requests and cached prompt parts share. */
  readonly memoryTokens: number;
}

/** What the manifest says of a service's servers. */
export interface ServiceTraits {
  readonly name: string;
  /** Path of a health check; `undefined` without one. */
  readonly healthPath: string | undefined;
  /**
   * Requests a second that a server bears after its start; `undefined` if its
   * servers do not start cold.
   */
  readonly coldPerSecond: number | undefined;
  /** How long a server is cold after its start. */
  readonly coldStartMs: number;
  /** Absent for a service that runs no models. */
  readonly engine: EngineTraits | undefined;
}

/** The complete configuration of one manifest version. */
export interface Manifest {
  readonly version: number;
  readonly routes: readonly ServiceRoute[];
  readonly limits: CallerLimits;
  /** Absent if no request needs a key. */
  readonly workspaces: readonly WorkspaceAccess[] | undefined;
  /** Traits of services; a service without an entry has none. */
  readonly services: readonly ServiceTraits[];
}

/** A backend server's own registration. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  /** Host and port. */
  readonly address: string;
  readonly place: string;
  /** Version of the server's software. */
  readonly version: string;
  readonly slotCount: number;
  readonly status: "ready" | "draining";
  /** Start time of the server's process on its own wall clock. */
  readonly processStartedAtMs: number;
  /** How much longer it is cold, when the record was written; 0 if it is not. */
  readonly coldLeftMs: number;
}

/** An operator's order to move a service to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly target: string;
  /** Time allowed for the roll-out, counted from the order. */
  readonly durationMs: number;
  /** Offset of the order in the store; increases with each order. */
  readonly offset: number;
}

/** Progress of a roll-out, as operators see it. */
export type RolloutStage = "active" | "completed" | "reverted";

/** The recorded status of a roll-out. */
export interface RolloutStatus {
  readonly service: string;
  readonly target: string;
  readonly stage: RolloutStage;
  /** Offset of the order; absent if another program wrote the status. */
  readonly orderOffset: number | undefined;
}
