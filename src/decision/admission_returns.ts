/**
 * When refused callers may come back. The returns of a workspace are spaced by
 * the rate at which its requests start here, each after those refused before
 * it. A request that is repeated before its time keeps its time.
 */
import { Map as PersistentMap } from "immutable";

/** The returns that are due, by workspace and by request; immutable. */
export interface Returns {
  /** Time after the last return that was given out, by workspace. */
  readonly nextAtMs: PersistentMap<string, number>;
  /** Time at which a refused request may come back, by its digest. */
  readonly dueAtMs: PersistentMap<string, number>;
}

/** Whether a request is a first one, or came back in time or too early. */
export type Repeat = "returned" | "first" | "early";

export const NO_RETURNS: Returns = {
  nextAtMs: PersistentMap(),
  dueAtMs: PersistentMap(),
};

/** Callers wait at most this share of the time that they have left. */
const MAX_TIME_LEFT_SHARE = 1 / 3;
/** Part of the longest time over which later returns spread. */
const LATE_SPREAD = 0.1;
const MIN_DELAY_MS = 100;
const MAX_DELAY_MS = 10_000;
/** Callers' clocks and timers may be this much early. */
const EARLY_TOLERANCE_MS = 20;
/** A caller that stays away for longer counts as a first one. */
const MAX_OVERDUE_MS = 5000;
const MAX_DUE_COUNT = 2048;
const MS_PER_SECOND = 1000;

/** A refusal for which a return is given out. */
export interface RefusedRequest {
  readonly workspace: string;
  readonly digest: string;
  readonly deadlineAtMs: number;
}

/** Returns when a refused request may come back, and the returns with it. */
export function giveReturn(
  returns: Returns,
  request: RefusedRequest,
  { ratePerSecond, nowMs, spread }: {
    /** Rate at which requests of its workspace start at this VM. */
    readonly ratePerSecond: number;
    readonly nowMs: number;
    /** Random number from 0 to 1. */
    readonly spread: number;
  },
): { readonly returns: Returns; readonly retryAfterMs: number } {
  const { workspace, digest, deadlineAtMs } = request;
  const known = returns.dueAtMs.get(digest);
  if (known !== undefined && known > nowMs) {
    return { returns, retryAfterMs: Math.ceil(known - nowMs) };
  }
  const timeLeftMs = Math.max(0, deadlineAtMs - nowMs);
  const maxMs = Math.min(MAX_DELAY_MS, timeLeftMs * MAX_TIME_LEFT_SHARE);
  const stepMs = MS_PER_SECOND / Math.max(ratePerSecond, 0.01);
  const nextAtMs = Math.max(
    nowMs + MIN_DELAY_MS,
    returns.nextAtMs.get(workspace) ?? 0,
  );
  const isSpaced = nextAtMs <= nowMs + maxMs;
  // Later ones spread out, as all at the longest time would come together.
  const dueAtMs = isSpaced
    ? nextAtMs
    : nowMs + maxMs * (1 - LATE_SPREAD * spread);
  const next = isSpaced
    ? returns.nextAtMs.set(workspace, nextAtMs + stepMs)
    : returns.nextAtMs;
  return {
    returns: {
      nextAtMs: next,
      dueAtMs: bounded(returns.dueAtMs, nowMs).set(digest, dueAtMs),
    },
    retryAfterMs: Math.max(1, Math.floor(dueAtMs - nowMs)),
  };
}

/** Whether a request that arrives now was refused before. */
export function repeatOf(
  { dueAtMs }: Returns,
  digest: string,
  nowMs: number,
): Repeat {
  const due = dueAtMs.get(digest);
  if (due === undefined || nowMs > due + MAX_OVERDUE_MS) return "first";
  return nowMs < due - EARLY_TOLERANCE_MS ? "early" : "returned";
}

/** Forgets a request that was started. */
export function endReturn(returns: Returns, digest: string): Returns {
  if (!returns.dueAtMs.has(digest)) return returns;
  return { ...returns, dueAtMs: returns.dueAtMs.delete(digest) };
}

function bounded(
  dueAtMs: Returns["dueAtMs"],
  nowMs: number,
): Returns["dueAtMs"] {
  if (dueAtMs.size < MAX_DUE_COUNT) return dueAtMs;
  const recent = dueAtMs.filter((due) => nowMs <= due + MAX_OVERDUE_MS);
  if (recent.size < MAX_DUE_COUNT) return recent;
  return recent.sort().takeLast(MAX_DUE_COUNT / 2);
}
