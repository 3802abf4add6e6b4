/** What forwarding a request needs, and what it is told of the request. */
import {
  type Clock,
  type Logger,
  type Random,
  type ServiceRoute,
  type WorkspaceAccess,
} from "../model/mod.ts";
import { type BackendFleet } from "./backend_fleet.ts";
import { type GatewayMetrics } from "./gateway_metrics.ts";
import { type PrefillRates } from "./prefill_rates.ts";
import { type CallerRequest, type GatewayProtocol } from "./protocol.ts";
import { type RetryBudget } from "./retry_budget.ts";

/** What one attempt says of the version that answered it. */
export interface VersionSample {
  readonly service: string;
  readonly version: string;
  readonly backendId: string;
  readonly route: string;
  /** Whether the answer was a failure of the server's own. */
  readonly isError: boolean;
  /** Time to the answer's first byte, or how long none came. */
  readonly firstByteMs: number;
}

/** Of which session a request is, as far as versions are concerned. */
export interface VersionSession {
  readonly key: string;
  /** Whether more requests of the session may follow. */
  readonly isMultiRequest: boolean;
  /** The version on which the request has failed before. */
  readonly failedVersion: string | undefined;
}

/** Which versions of a service a request may run on. */
export interface VersionSelector {
  /** Versions for the requests of one session; the same for all VMs. */
  readonly acceptorOf: (
    service: string,
    session: VersionSession,
  ) => (version: string) => boolean;
  readonly record: (sample: VersionSample) => void;
  /** A request starts or ends at a server of a version. */
  readonly adjustInFlight: (
    service: string,
    version: string,
    change: 1 | -1,
  ) => void;
}

/** What all requests share. */
export interface ForwardContext {
  readonly protocol: GatewayProtocol;
  readonly fleet: BackendFleet;
  readonly budget: RetryBudget;
  readonly versions: VersionSelector;
  /** Cost of the way to a place, in milliseconds. */
  readonly distanceMs: (place: string) => number;
  readonly prefill: PrefillRates;
  /** Tells VMs nearby that a server is busy with a long prompt. */
  readonly reportBusy: (backendId: string, forMs: number) => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

/** A request that is allowed and wholly received. */
export interface ForwardRequest {
  readonly caller: CallerRequest;
  readonly route: ServiceRoute;
  readonly service: string;
  readonly workspace: WorkspaceAccess | undefined;
  readonly manifestVersion: number;
  readonly body: Buffer;
  /** When its head arrived. */
  readonly receivedAtMs: number;
}
