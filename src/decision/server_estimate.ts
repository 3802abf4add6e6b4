/**
 * Estimates what a request meets at an engine: the wait for a slot and for the
 * prompts ahead, the time to the first token and to the end, and the memory
 * left. The engine's own count of its requests is the sum over all VMs; what
 * this VM sent since then is added to it.
 */
import {
  expectedRequestCount,
  expectedSlowness,
  type LoadObservation,
  promisedTokens,
} from "./shared_load.ts";
import { slotWaitMs } from "./silence.ts";

/**
 * Part of an engine's memory that is promised to nobody, for what other VMs
 * sent since the engine was last heard.
 */
const MEMORY_MARGIN_SHARE = 0.1;
/**
 * How long a machine's speed lasts; a stream that takes longer meets others.
 * With the speed counted in full, 250 answers in place of 145 were late in the
 * simulated load near what the engines can do.
 */
const PERSISTENCE_MS = 1000;
/** How much slower each request of a batch makes a step. */
const STEP_SHARE_PER_REQUEST = 0.05;
/**
 * Prompts that an engine may have to prefill at once: four long ones take about
 * 0.8 s, less than the shortest target for the pause between events (1.2 s).
 */
const MAX_PREFILLS = 4;
/** Cost of each further one: about a long prompt's prefill. */
const PREFILL_EXCESS_MS = 200;

/** Requests, and the tokens of their prompts and answers. */
export interface PromisedWork {
  readonly count: number;
  readonly tokens: number;
}

/** What a VM knows of an engine. */
export interface EngineKnowledge {
  readonly batchSize: number;
  readonly memoryTokens: number;
  /** The newest load that any VM observed. */
  readonly load: LoadObservation | undefined;
  /** This VM's requests there. */
  readonly own: PromisedWork;
  /** Those of them that were sent since the load was observed. */
  readonly sentSince: PromisedWork;
  /** Prompts that are not prefilled yet, and the time they take. */
  readonly prefillCount: number;
  readonly prefillMs: number;
  /** The mean request of the service: time in a slot, and tokens. */
  readonly usual: { readonly holdMs: number; readonly tokens: number };
}

/** The request to estimate. */
export interface RequestSize {
  /** Tokens of its prompt and its expected answer. */
  readonly tokens: number;
  readonly prefillMs: number;
}

export interface ServerEstimate {
  readonly waitMs: number;
  readonly firstTokenMs: number;
  readonly endMs: number;
  /** Tokens that may still be promised; below 0 if too many are. */
  readonly freeTokens: number;
  /** Requests running or waiting, from all VMs. */
  readonly requestCount: number;
  /** Part of the time to the end that is due to the other requests. */
  readonly batchMs: number;
  /** Cost of one more prefill to the pauses of answers in progress. */
  readonly prefillExcessMs: number;
}

/** Returns the estimate for a request that is sent now. */
export function estimate(
  server: EngineKnowledge,
  request: RequestSize,
  nowMs: number,
): ServerEstimate {
  const { load, own, sentSince, usual } = server;
  const batchSize = Math.max(1, server.batchSize);
  const slowness = expectedSlowness(load, nowMs);
  const requestCount = Math.max(
    own.count,
    expectedRequestCount(load, nowMs) + sentSince.count,
  );
  const runningCount = Math.min(requestCount, batchSize);
  const slotMs = slotWaitMs({
    loadCount: requestCount,
    slotCount: batchSize,
    holdMs: usual.holdMs,
  });
  // Prompts ahead are prefilled while the request waits for a slot.
  const longSlowness = 1 + (slowness - 1) * PERSISTENCE_MS /
      (PERSISTENCE_MS + usual.holdMs);
  const waitMs = Math.max(longSlowness * slotMs, slowness * server.prefillMs);
  const firstTokenMs = waitMs + slowness * request.prefillMs;
  const usualStep = 1 + STEP_SHARE_PER_REQUEST * batchSize / 2;
  const idleMs = longSlowness * usual.holdMs / usualStep;
  const batchMs = idleMs * STEP_SHARE_PER_REQUEST * runningCount;
  const excess = Math.max(0, server.prefillCount + 1 - MAX_PREFILLS);
  const othersTokens = usual.tokens * Math.max(0, runningCount - own.count);
  const heldTokens = Math.max(
    own.tokens + othersTokens,
    promisedTokens(load, nowMs) + sentSince.tokens,
  );
  return {
    waitMs,
    firstTokenMs,
    endMs: firstTokenMs + idleMs + batchMs,
    freeTokens: (1 - MEMORY_MARGIN_SHARE) * server.memoryTokens - heldTokens,
    requestCount,
    batchMs,
    prefillExcessMs: slowness * excess * PREFILL_EXCESS_MS,
  };
}
