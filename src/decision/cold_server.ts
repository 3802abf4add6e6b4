/**
 * Backend servers that start cold: what all VMs together may send to one, and
 * until when a server counts as cold.
 *
 * A cold server falls over well above the rate that it bears, so the VMs that
 * hear each other use at most half of the bound in any second. Two groups of
 * VMs that never heard of each other then stay within it together. Where there
 * are enough VMs, each has less than one request a second, so that a burst of
 * all of them at one moment is as many requests as VMs with a share.
 */
import { type DividedLimit } from "./divided_limit.ts";
import { type Observation } from "./shared_observation.ts";

/** How far the requests to a cold server may exceed what it bears. */
export interface ColdBound {
  /** Multiple of the requests a second that it bears. */
  readonly ratio: number;
  /** Requests beyond that. */
  readonly slackCount: number;
}

/** What one VM knows of how cold a server is; immutable. */
export interface ColdState extends Observation {
  readonly processStartedAtMs: number;
  /** How much longer it is cold, counted as `phase` says. */
  readonly remainingMs: number;
  /**
   * From when the remaining time counts: from the observation, from the next
   * answer of a server that only its entry calls cold, as it stays cold without
   * traffic, or from the next answer of one that could not be reached.
   */
  readonly phase: "counting" | "unused" | "unreached";
  /** What was known before the server could not be reached. */
  readonly before: ColdState | undefined;
}

/** The share of the bound that VMs which hear each other may use. */
const USED_SHARE = 0.5;
/** The share of what the server bears that they send in the long run. */
const RATE_SHARE = 0.75;
/**
 * A VM with less than this many requests a second sends one in any second, also
 * if one of them arrives 50 ms late.
 */
const SPACED_PER_SECOND = 0.95;
/** A server that could not be reached for this long is no longer expected. */
const MAX_UNREACHED_MS = 60_000;

/** Returns how many requests a cold server may get in a second. */
export function coldBoundCount(
  coldPerSecond: number,
  { ratio, slackCount }: ColdBound,
): number {
  return coldPerSecond * ratio + slackCount;
}

/** Returns what the VMs that know each other may send to a cold server. */
export function coldLimit(
  { coldPerSecond, bound }: {
    readonly coldPerSecond: number;
    readonly bound: ColdBound;
  },
  memberCount: number,
): DividedLimit {
  const usedCount = USED_SHARE * coldBoundCount(coldPerSecond, bound);
  const vmCount = Math.max(1, Math.min(memberCount, Math.floor(usedCount)));
  const perSecond = Math.min(
    RATE_SHARE * coldPerSecond,
    Math.max(SPACED_PER_SECOND * vmCount, usedCount - vmCount),
  );
  return {
    perSecond,
    burstCount: Math.max(vmCount, usedCount - perSecond),
    maxVmCount: vmCount,
  };
}

/** Returns how much longer a server counts as cold; Infinity if unknown. */
export function coldLeftMs(
  { phase, remainingMs, observedAtMs }: ColdState,
  nowMs: number,
): number {
  if (phase === "counting") {
    return Math.max(0, observedAtMs + remainingMs - nowMs);
  }
  if (phase === "unused") return remainingMs > 0 ? Infinity : 0;
  return nowMs - observedAtMs < MAX_UNREACHED_MS ? Infinity : 0;
}

/**
 * Returns the newer of two states. What another VM says of another start of the
 * server's process may be older than it seems, so it only adds that the server
 * is cold.
 */
export function newerCold(
  current: ColdState | undefined,
  next: ColdState,
  nowMs: number,
): ColdState {
  if (current === undefined) return next;
  const ageMs = current.observedAtMs - next.observedAtMs;
  if (ageMs > 0 || (ageMs === 0 && next.hopCount > 0)) return current;
  const isOtherStart = next.processStartedAtMs !== current.processStartedAtMs;
  const isLess = coldLeftMs(next, nowMs) < coldLeftMs(current, nowMs);
  const isHearsay = next.hopCount > 0 && isOtherStart;
  return isHearsay && isLess ? current : next;
}

/** Returns the state after an answer that doesn't say how cold the server is. */
export function countFromAnswer(state: ColdState, nowMs: number): ColdState {
  if (state.phase === "counting") return state;
  return {
    ...state,
    phase: "counting",
    before: undefined,
    observedAtMs: nowMs,
    hopCount: 0,
  };
}

/**
 * Returns the state after evidence that the process of a server that could not
 * be reached has been running all the time: what was known before.
 */
export function revertUnreached(state: ColdState, nowMs: number): ColdState {
  const { before } = state;
  if (state.phase !== "unreached") return state;
  const leftMs = before === undefined ? 0 : coldLeftMs(before, nowMs);
  const isUnused = before?.phase === "unused" && leftMs > 0;
  return {
    ...state,
    phase: isUnused ? "unused" : "counting",
    remainingMs: isUnused ? before.remainingMs : leftMs,
    before: undefined,
    observedAtMs: nowMs,
    hopCount: 0,
  };
}
