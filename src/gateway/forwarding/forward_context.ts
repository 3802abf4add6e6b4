/** The dependencies of request forwarding, and the request's data. */
import {
  type Clock,
  type EngineTraits,
  type Logger,
  type Random,
  type ServiceRoute,
  type WorkspaceAccess,
} from "../../model/mod.ts";
import { type AnswerMemory } from "../callers/answer_memory.ts";
import { type BackendFleet } from "../servers/backend_fleet.ts";
import { type Evacuations } from "../servers/evacuations.ts";
import { type ColdServers } from "../servers/cold_servers.ts";
import { type GatewayMetrics } from "../telemetry/gateway_metrics.ts";
import { type PrefillRates } from "../servers/prefill_rates.ts";
import { type PromptRates } from "../servers/prompt_rates.ts";
import { type PromptQuarantine } from "../prompts/prompt_quarantine.ts";
import { type CallerRequest, type GatewayProtocol } from "../protocol.ts";
import { type RequestRegions } from "../servers/request_regions.ts";
import { type ReachWatch } from "../servers/reach_watch.ts";
import { type RetryBudget } from "./retry_budget.ts";
import { type ServerBrittleness } from "../servers/server_brittleness.ts";
import { type ServerLimits } from "../servers/server_limits.ts";
import { type ServerStatements } from "../servers/server_statements.ts";
import { type SlowStarts } from "../servers/slow_starts.ts";
import { type VmRelays } from "./vm_relays.ts";

/** One attempt's result for the statistics of the version that ran it. */
export interface VersionSample {
  readonly service: string;
  readonly version: string;
  readonly backendId: string;
  readonly route: string;
  /** Whether the server answered with an error status (5xx). */
  readonly isError: boolean;
  /** Whether the server had many requests when it answered. */
  readonly isBusy: boolean;
  /** Time to the first byte, or until the attempt ended without one. */
  readonly firstByteMs: number;
  /** Added latency of the server's place. */
  readonly distanceMs: number;
}

/** The pace of one answer for the statistics of the version that made it. */
export interface VersionPace {
  readonly service: string;
  readonly version: string;
  readonly backendId: string;
  readonly model: string;
  /** The median pause between two parts of the answer. */
  readonly pauseMs: number;
  /** Requests that ran at the server when it began the answer. */
  readonly runningCount: number;
}

/** A request's session, for the choice of a version. */
export interface VersionSession {
  readonly key: string;
  /** Whether the session may have further requests. */
  readonly isMultiRequest: boolean;
  /** The version on which an earlier attempt of the request failed. */
  readonly failedVersion: string | undefined;
  /** Which data centres' servers may get it; `undefined` if all may. */
  readonly allowsPlace: ((place: string) => boolean) | undefined;
}

/** The target of a roll-out that may still turn out bad. */
export interface LoadTrial {
  readonly version: string;
  /** Some of its servers that failed requests. */
  readonly failingIds: readonly string[];
}

/**
 * Why a request may run on the versions that its filter accepts. Without an
 * order: `settled` or `none_settled`; by the ready servers: `only_target`,
 * `session_held` or `no_target`; by the state of the roll-out: the others.
 */
export type VersionReason =
  | "settled"
  | "none_settled"
  | "only_target"
  | "session_held"
  | "no_target"
  | "failed_on_target"
  | "stage_unknown"
  | "session_kept"
  | "share"
  | "load_trial"
  | "free_place"
  | "last_phase"
  | "completed"
  | "reverted";

/** The versions that a request may run on. */
export interface VersionAcceptor {
  readonly accepts: (version: string) => boolean;
  readonly reason: VersionReason;
}

/** Selects the versions of a service that a request may run on. */
export interface VersionSelector {
  /** Returns the version filter of a session; it is the same on all VMs. */
  readonly acceptorOf: (
    service: string,
    session: VersionSession,
  ) => VersionAcceptor;
  /** Returns the version of a service that is tried under load, if any. */
  readonly loadTrialOf: (service: string) => LoadTrial | undefined;
  readonly record: (sample: VersionSample) => void;
  readonly recordPace: (pace: VersionPace) => void;
  /** Counts a request that starts (1) or ends (-1) on a version. */
  readonly adjustInFlight: (
    service: string,
    version: string,
    change: 1 | -1,
  ) => void;
}

/** What happens to a request that was given to admission; one of them, once. */
export interface AdmissionListeners {
  readonly onStart: () => void;
  readonly onRefuse: (retryAfterMs: number) => void;
}

/** A request that waits or was started. */
export interface AdmissionTicket {
  /** How long it waited for a slot. */
  readonly waitedMs: () => number;
  /** Ends the request's wait, or its use of a slot. */
  readonly end: (isAnswered: boolean) => void;
}

/** Decides when requests start. */
export interface RequestGate {
  readonly enter: (
    context: ForwardContext,
    request: ForwardRequest,
    listeners: AdmissionListeners,
  ) => AdmissionTicket;
}

/** The dependencies shared by all requests. */
export interface ForwardContext {
  readonly protocol: GatewayProtocol;
  readonly fleet: BackendFleet;
  readonly admission: RequestGate;
  readonly regions: RequestRegions;
  readonly limits: ServerLimits;
  readonly cold: ColdServers;
  readonly brittleness: ServerBrittleness;
  readonly statements: ServerStatements;
  readonly slowStarts: SlowStarts;
  readonly evacuations: Evacuations;
  readonly prompts: PromptQuarantine;
  readonly reach: ReachWatch;
  readonly relays: VmRelays;
  readonly budget: RetryBudget;
  readonly versions: VersionSelector;
  readonly answerMemory: AnswerMemory;
  /** Network distance to a place, as a cost in milliseconds. */
  /** Whether what is read now may have arrived long ago; never by default. */
  readonly isReadingLate?: () => boolean;
  readonly distanceMs: (place: string) => number;
  /** The engine of a service, if the manifest describes one. */
  readonly engineOf: (service: string) => EngineTraits | undefined;
  readonly prefill: PrefillRates;
  readonly promptRates: PromptRates;
  /** The number of VMs with this one; `undefined` while it is not known. */
  readonly vmCount: () => number | undefined;
  /** Reports to nearby VMs that a server is busy with a long prompt. */
  readonly reportBusy: (backendId: string, forMs: number) => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

/** An admitted request that has been received completely. */
export interface ForwardRequest {
  readonly caller: CallerRequest;
  readonly route: ServiceRoute;
  readonly service: string;
  readonly workspace: WorkspaceAccess | undefined;
  readonly manifestVersion: number;
  /** Regions in which it may be served; `undefined` for anywhere. */
  readonly permittedRegions: ReadonlySet<string> | undefined;
  /** The region of the caller, if it is known. */
  readonly callerRegion: string | undefined;
  readonly body: Buffer;
  /** Names the request whatever its id is; see `requestDigest`. */
  readonly digest: string;
  /** Time at which its head was received. */
  readonly receivedAtMs: number;
}
