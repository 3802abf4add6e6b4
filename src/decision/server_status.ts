/**
 * Whether a backend server receives new work. Four signs count, and the first
 * of them is enough: the platform's VM list, an operator's drain, the server's
 * own word (its load report or a 410 answer), and failed probes. The list lags
 * and may flap, so a sign of leaving holds for a while after it was last seen,
 * and a list that says "live" never overrules a server that says it leaves.
 * Running work is not touched by any status.
 */
import { type Vm } from "../model/mod.ts";

/** How long a sign of leaving holds after it was last seen. */
export const LEAVING_HOLD_MS = 15_000;
/** Consecutive failed probes after which a server gets no new work. */
export const FAILED_PROBES_LIMIT = 2;
/** Time from the first sign to no new work, for the periods of polling. */
export const NO_NEW_WORK_WITHIN_MS = 3_000;

/** Whether and why a server receives new work. */
export type ServerStatus = "serving" | "drained" | "leaving" | "unreachable";

/** What has been seen of one server. */
export interface ServerSignals {
  /** When the list last named it as leaving or did not name it at all. */
  readonly listLeavingAtMs: number | undefined;
  /** When it last said itself that it leaves. */
  readonly ownLeavingAtMs: number | undefined;
  /** When it last said itself that it stays. */
  readonly ownServingAtMs: number | undefined;
  readonly failedProbeCount: number;
}

/** A server of which nothing has been seen yet. */
export const NO_SIGNALS: ServerSignals = {
  listLeavingAtMs: undefined,
  ownLeavingAtMs: undefined,
  ownServingAtMs: undefined,
  failedProbeCount: 0,
};

/** One thing seen of a server. */
export type ServerSignal =
  | { readonly kind: "list"; readonly status: Vm["status"] | "absent" }
  | { readonly kind: "own_word"; readonly isLeaving: boolean }
  | { readonly kind: "probe"; readonly isAnswered: boolean };

/** The signs after one more was seen. */
export function recordSignal(
  signs: ServerSignals,
  sign: ServerSignal,
  nowMs: number,
): ServerSignals {
  switch (sign.kind) {
    case "list":
      if (sign.status === "live") return signs;
      return { ...signs, listLeavingAtMs: nowMs };
    case "own_word":
      return sign.isLeaving
        ? { ...signs, ownLeavingAtMs: nowMs }
        : { ...signs, ownServingAtMs: nowMs };
    case "probe":
      return {
        ...signs,
        failedProbeCount: sign.isAnswered ? 0 : signs.failedProbeCount + 1,
      };
  }
}

/** The server that a status is asked for. */
export interface StatusOptions {
  readonly vm: string;
  readonly place: string;
  /** What the operators have drained, from the root's settings. */
  readonly settings: {
    readonly drainedPlaces: readonly string[];
    readonly drainedServers: readonly string[];
  };
  readonly nowMs: number;
}

/** The status of a server from all signs. */
export function serverStatus(
  signs: ServerSignals,
  options: StatusOptions,
): ServerStatus {
  const { settings, vm, place, nowMs } = options;
  if (settings.drainedServers.includes(vm)) return "drained";
  if (settings.drainedPlaces.includes(place)) return "drained";
  if (isOwnWordLeaving(signs, nowMs)) return "leaving";
  if (isHeld(signs.listLeavingAtMs, nowMs)) return "leaving";
  if (signs.failedProbeCount >= FAILED_PROBES_LIMIT) return "unreachable";
  return "serving";
}

/** Whether a server with this status receives new work. */
export function takesNewWork(status: ServerStatus): boolean {
  return status === "serving";
}

/** Its own word stands until it says otherwise after the hold. */
function isOwnWordLeaving(signs: ServerSignals, nowMs: number): boolean {
  if (signs.ownLeavingAtMs === undefined) return false;
  if (isHeld(signs.ownLeavingAtMs, nowMs)) return true;
  return signs.ownLeavingAtMs >= (signs.ownServingAtMs ?? -Infinity);
}

function isHeld(seenAtMs: number | undefined, nowMs: number): boolean {
  return seenAtMs !== undefined && nowMs - seenAtMs < LEAVING_HOLD_MS;
}
