/** What a gateway is told at its start. */
import { type RepeatBound } from "../decision/mod.ts";

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
  /** Peer addresses of a few VMs; some may be gone. */
  readonly seeds: readonly string[];
  readonly memoryBytes: number;
  /** Processor cores, or a share of one. */
  readonly coreShare: number;
  /** A server that leaves gets no new work after this. */
  readonly drainMs: number;
  /** A manifest is in force after this. */
  readonly convergeMs: number;
  /** From SIGTERM to the end of the process. */
  readonly graceMs: number;
  /** How long callers may keep the addresses that they were given. */
  readonly entryMaxAgeMs: number;
  /** Over all VMs. */
  readonly repeats: RepeatBound;
  /** Of a service's requests, what a version may get before it is proved. */
  readonly canaryShare: number;
  /** Requests of a session follow each other within this. */
  readonly sessionMs: number;
}
