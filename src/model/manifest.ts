/**
 * The service manifest: what the operators want served, as one immutable value
 * of increasing version. It names routes, the services that they lead to, the
 * bounds of callers and the workspaces with their keys.
 */

/** What may be repeated on a route, and how its answers come. */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** One service of a route and its share of the route's requests. */
export interface ServiceWeight {
  readonly service: string;
  /** Relative to the other weights of the route. */
  readonly weight: number;
}

/** A host and path prefix with the services behind it. */
export interface ServiceRoute {
  readonly name: string;
  readonly host: string;
  /** The beginning of the paths it takes; begins and ends with a slash. */
  readonly routePrefix: string;
  readonly kind: RouteKind;
  /** The longest that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Within this an answer, or a stream's first event, is on time. */
  readonly targetMs: number;
  /** The most backend servers for one request of a caller. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether an interrupted stream may go on at another backend server. */
  readonly isResumable: boolean;
  /** The longest pause between events of a stream that is on time. */
  readonly gapTargetMs: number | undefined;
  /** Models that may answer, smallest first; none where the caller names it. */
  readonly models: readonly string[];
  readonly services: readonly ServiceWeight[];
}

/** Whether a request of the route may run more than once. */
export function isRetriable({ kind, isResumable }: ServiceRoute): boolean {
  return kind === "idempotent" || (kind === "streaming" && isResumable);
}

/** What callers may send and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A workspace and the keys that its callers show. */
export interface WorkspaceAccess {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's priority. */
  readonly priority: number | undefined;
}

/** Everything that is in force. */
export interface Manifest {
  readonly version: number;
  readonly routes: readonly ServiceRoute[];
  readonly limits: CallerLimits;
  /** Absent where requests need no key at all. */
  readonly workspaces: readonly WorkspaceAccess[] | undefined;
}

/** A backend server as it registered itself. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  /** Host and port. */
  readonly address: string;
  readonly place: string;
  /** The version of its software. */
  readonly version: string;
  readonly slotCount: number;
  readonly status: "ready" | "draining";
  /** When this life of the server began, on its own wall clock. */
  readonly processStartedAtMs: number;
}

/** An operator's order to move a service to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly target: string;
  /** Time from the order to its limit. */
  readonly durationMs: number;
  /** The order's offset in the store; a later order has a higher one. */
  readonly offset: number;
}

/** How far a roll-out is, as the operators read it. */
export type RolloutStage = "active" | "completed" | "reverted";

/** What was written of a roll-out. */
export interface RolloutStatus {
  readonly service: string;
  readonly target: string;
  readonly stage: RolloutStage;
  /** The offset of the order that it answers; absent when written by others. */
  readonly orderOffset: number | undefined;
}
