/** Options, switches and the record of an engine stand-in. */

/** How an engine is set up. */
export interface EngineOptions {
  readonly server: string;
  readonly versions: readonly string[];
  readonly slotCount?: number;
  readonly queueLimit?: number;
  /** Time of one output token. */
  readonly tokenMs?: number;
  /** Time to read a thousand input tokens that are not cached. */
  readonly prefillMsPerKTok?: number;
  readonly memoryMb?: number;
  /** Memory that one version takes. */
  readonly versionMemoryMb?: number;
  readonly loadMs?: number;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFence?: boolean;
  readonly cacheEntryCount?: number;
  readonly reportLagMs?: number;
  readonly cacheEventLagMs?: number;
  /** Every n-th cache event is never published; 0 for none. */
  readonly cacheEventGapEvery?: number;
}

/**
 * A fault of `count` streams, every `everyNth` of those that start, once
 * `afterTokens` frames are out.
 */
export interface StreamFault {
  readonly kind: "silent" | "crossed" | "repeated" | "ended_early" | "reset";
  readonly afterTokens: number;
  readonly count: number;
  /** 1 for each stream. */
  readonly everyNth?: number;
}

/** Faults of the engine, changed at any time. */
export interface EngineSwitches {
  isDown: boolean;
  /** Accepts a request and never answers. */
  isSilent: boolean;
  isLeaving: boolean;
  /** Multiplies the time of each token. */
  slowFactor: number;
  streamFault: StreamFault | undefined;
  /** Versions whose answers carry marks of poor quality. */
  badVersions: readonly string[];
}

/** One attempt as it reached the engine. */
export interface RecordedAttempt {
  readonly server: string;
  readonly requestId: string;
  readonly attempt: number;
  readonly version: string;
  readonly fromIndex: number;
  readonly maxTokens: number;
  readonly atMs: number;
  /** Whether the prefix is what the version had said up to `fromIndex`. */
  readonly isPrefixRight: boolean;
  frameCount: number;
  outcome: "running" | "done" | "refused" | "cancelled" | "cut";
}

/** One order as it reached the engine. */
export interface RecordedOrder {
  readonly server: string;
  readonly orderId: string;
  readonly fence: number;
  readonly kind: string;
  readonly version: string;
  readonly isStale: boolean;
}

/** The most attempts, and the most orders, that an engine remembers. */
export const MAX_RECORDED_COUNT = 200_000;

/** Switches with every fault off. */
export function faultlessSwitches(): EngineSwitches {
  return {
    isDown: false,
    isSilent: false,
    isLeaving: false,
    slowFactor: 1,
    streamFault: undefined,
    badVersions: [],
  };
}
