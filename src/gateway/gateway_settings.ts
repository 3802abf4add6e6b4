/** Settings that a gateway reads at its start. */
import { type ColdBound, type RetryBound } from "../decision/mod.ts";

/** A data centre and its region. */
export interface PlaceRegion {
  readonly place: string;
  readonly region: string;
}

/** Settings of one VM. */
export interface GatewaySettings {
  readonly vm: string;
  readonly place: string;
  readonly places: readonly PlaceRegion[];
  /** Host and port for callers. */
  readonly callerAddress: string;
  /** Host and port for the other VMs. */
  readonly peerAddress: string;
  /** Peer addresses of a few VMs; some may no longer exist. */
  readonly seeds: readonly string[];
  readonly memoryBytes: number;
  /** Descriptors that the process may have open. */
  readonly descriptorCount: number;
  /** Processor cores of this VM; below 1 it is a share of one core. */
  readonly coreShare: number;
  /** A draining server gets no new work after this time. */
  readonly drainMs: number;
  /** A new manifest is in force on all VMs after this time. */
  readonly convergeMs: number;
  /** Longest time from SIGTERM to the end of the process. */
  readonly graceMs: number;
  /** How long callers may cache the addresses of entry VMs. */
  readonly entryMaxAgeMs: number;
  /** Bound on the retries of all VMs together. */
  readonly retryBound: RetryBound;
  /** Share of a service's requests that an unproven version may get. */
  readonly canaryShare: number;
  /** Requests that it may get beyond its share. */
  readonly canarySlackCount: number;
  /** Bound on the requests that a cold server gets in a second. */
  readonly coldBound: ColdBound;
  /** An evacuated data centre gets no more requests after this time. */
  readonly evacuateMs: number;
}
