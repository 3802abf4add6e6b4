/** Options, fault switches and recorded traffic of an engine stand-in. */

/** Options of an engine stand-in. */
export interface EngineOptions {
  readonly server: string;
  readonly versions: readonly string[];
  readonly slotCount?: number;
  readonly queueLimit?: number;
  /** Time to generate one output token. */
  readonly tokenMs?: number;
  /** Prefill time per thousand uncached input tokens. */
  readonly prefillMsPerKTok?: number;
  readonly memoryMb?: number;
  /** Memory used by each loaded version. */
  readonly versionMemoryMb?: number;
  readonly loadMs?: number;
  /** Whether orders with an outdated fencing number are refused. */
  readonly checksFence?: boolean;
  readonly cacheEntryCount?: number;
  readonly reportLagMs?: number;
  readonly cacheEventLagMs?: number;
  /** Every n-th cache event is dropped; 0 drops none. */
  readonly cacheEventGapEvery?: number;
}

/**
 * A fault that occurs after `afterTokens` frames in every `everyNth` stream
 * started, `count` times in all.
 */
export interface StreamFault {
  readonly kind: "silent" | "crossed" | "repeated" | "ended_early" | "reset";
  readonly afterTokens: number;
  readonly count: number;
  /** Defaults to 1, which affects each stream. */
  readonly everyNth?: number;
}

/** Fault switches of an engine; they can be changed while it runs. */
export interface EngineSwitches {
  isDown: boolean;
  /** Accepts connections but never sends a response. */
  isSilent: boolean;
  isLeaving: boolean;
  /** Multiplies the prefill time and the time per token. */
  slowFactor: number;
  streamFault: StreamFault | undefined;
  /** Versions whose answers are marked as low quality. */
  badVersions: readonly string[];
}

/** An attempt received by the engine. */
export interface RecordedAttempt {
  readonly server: string;
  readonly requestId: string;
  readonly attempt: number;
  readonly version: string;
  readonly fromIndex: number;
  readonly maxTokens: number;
  readonly atMs: number;
  /** Whether the prefix matches the answer's text before `fromIndex`. */
  readonly isPrefixRight: boolean;
  frameCount: number;
  outcome: "running" | "done" | "refused" | "cancelled" | "cut";
}

/** An order received by the engine. */
export interface RecordedOrder {
  readonly server: string;
  readonly orderId: string;
  readonly fence: number;
  readonly kind: string;
  readonly version: string;
  readonly isStale: boolean;
}

/** Limit on the recorded attempts, and on the recorded orders, of an engine. */
export const MAX_RECORDED_COUNT = 200_000;

/** Returns switches with every fault off. */
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
