/**
 * Shared load: what VMs tell each other of the backend servers' loads, so that
 * a VM with little traffic of its own does not take a busy server for an idle
 * one. Every server states its load with its answers.
 */
import { type Observation, recentObservations } from "./shared_observation.ts";

/** A server's load as one VM observed it. */
export interface LoadObservation extends Observation {
  /** Requests running or waiting at the server. */
  readonly requestCount: number;
  /** How long work takes there, 100 as usual; undefined if unknown. */
  readonly slownessPercent?: number | undefined;
  /** Tokens promised to its requests, as far as the observer knew. */
  readonly promisedTokens?: number | undefined;
}

/** An observation as sent to another VM. */
export interface SharedLoad {
  readonly id: string;
  readonly requestCount: number;
  readonly ageMs: number;
  readonly hopCount: number;
  /** Absent if it is usual or unknown. */
  readonly slownessPercent?: number;
  /** Absent if they are few. */
  readonly promisedTokens?: number;
}

/** Up to this age an observation counts in full. */
const FRESH_MS = 1500;
/** From this age on it does not count. */
const STALE_MS = 4000;

/** A machine's speed changes many times a second; this much of it is noise. */
const SLOWNESS_HALF_LIFE_MS = 200;
/** Least weight of a new figure, so that a change shows at once. */
const MIN_SLOWNESS_WEIGHT = 0.5;
const SLOWNESS_PERCENT = { usual: 100, max: 2000 } as const;
/** Speeds that differ less from the usual one are not told other VMs. */
const USUAL_SLOWNESS_SHARE = 0.1;

/** Fewer promised tokens fit into any engine; VMs don't tell each other. */
const FEW_TOKENS = 100_000;

/** Returns the slowness after a server stated it once more. */
export function smoothedSlowness(
  last: LoadObservation | undefined,
  next: { readonly percent: number | undefined; readonly nowMs: number },
): number | undefined {
  const { percent, nowMs } = next;
  if (percent === undefined) return undefined;
  const bounded = Math.min(SLOWNESS_PERCENT.max, percent);
  if (last?.slownessPercent === undefined) return bounded;
  const ageMs = Math.max(0, nowMs - last.observedAtMs);
  const weight = Math.max(
    MIN_SLOWNESS_WEIGHT,
    1 - 0.5 ** (ageMs / SLOWNESS_HALF_LIFE_MS),
  );
  return last.slownessPercent + weight * (bounded - last.slownessPercent);
}

/** Returns the requests to expect at a server; an old observation fades. */
export function expectedRequestCount(
  load: LoadObservation | undefined,
  nowMs: number,
): number {
  if (load === undefined) return 0;
  return load.requestCount * freshShare(load, nowMs);
}

/** Returns how much longer work takes at a server; 1 as usual. */
export function expectedSlowness(
  load: LoadObservation | undefined,
  nowMs: number,
): number {
  if (load?.slownessPercent === undefined) return 1;
  return 1 +
    (load.slownessPercent / SLOWNESS_PERCENT.usual - 1) *
      freshShare(load, nowMs);
}

/** Returns the tokens promised to a server's requests when it was observed. */
export function promisedTokens(
  load: LoadObservation | undefined,
  nowMs: number,
): number {
  if (load?.promisedTokens === undefined) return 0;
  return load.promisedTokens * freshShare(load, nowMs);
}

function freshShare({ observedAtMs }: LoadObservation, nowMs: number): number {
  const share = (STALE_MS - (nowMs - observedAtMs)) / (STALE_MS - FRESH_MS);
  return Math.min(1, Math.max(0, share));
}

/** Returns the observations to send: recent ones, the newest first. */
export function loadsToShare(
  loads: Iterable<readonly [id: string, load: LoadObservation | undefined]>,
  options: { readonly nowMs: number; readonly maxHopCount: number },
): SharedLoad[] {
  return recentObservations(loads, options).map(
    ({ id, ageMs, observation }) => {
      const { requestCount, hopCount, slownessPercent, promisedTokens } =
        observation;
      const isSlownessUsual = slownessPercent === undefined ||
        isUsual(slownessPercent);
      return {
        id,
        requestCount,
        ageMs,
        hopCount,
        ...isSlownessUsual
          ? {}
          : { slownessPercent: Math.round(slownessPercent) },
        ...promisedTokens === undefined || promisedTokens < FEW_TOKENS
          ? {}
          : { promisedTokens: Math.round(promisedTokens) },
      };
    },
  );
}

/** Returns the observation that a VM keeps of one it was sent. */
export function receivedLoad(
  { ageMs, hopCount, id: _id, ...load }: SharedLoad,
  nowMs: number,
): LoadObservation {
  return {
    ...load,
    observedAtMs: nowMs - ageMs,
    hopCount: hopCount + 1,
  };
}

function isUsual(slownessPercent: number): boolean {
  const { usual } = SLOWNESS_PERCENT;
  return Math.abs(slownessPercent - usual) < USUAL_SLOWNESS_SHARE * usual;
}
