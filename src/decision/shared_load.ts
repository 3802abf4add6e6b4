/**
 * Shared load: what VMs tell each other of the backend servers' loads, so that
 * a VM with little traffic of its own does not take a busy server for an idle
 * one. Every server states its load with its answers; of two observations the
 * newer one wins, whoever made it, so they may arrive in any order and twice. A
 * message holds a bounded number of recent observations, and none goes back to
 * where it came from: a VM tells its store reader what it observed itself, a
 * reader tells other readers what its data centre observed.
 */

/** A server's load as one VM observed it. */
export interface LoadObservation {
  /** Requests running or waiting at the server. */
  readonly requestCount: number;
  /** By the clock of the VM that holds the observation. */
  readonly observedAtMs: number;
  /** How many VMs passed it on; 0 for this VM's own observations. */
  readonly hopCount: number;
}

/** An observation as sent to another VM. */
export interface SharedLoad {
  readonly id: string;
  readonly requestCount: number;
  readonly ageMs: number;
  readonly hopCount: number;
}

/** Up to this age an observation counts in full. */
const FRESH_MS = 1500;
/** From this age on it does not count. */
const STALE_MS = 4000;
/** Older observations are not passed on. */
const MAX_SHARED_AGE_MS = 2000;
/** Bounds a message, whatever the number of servers. */
export const MAX_SHARED_LOADS = 64;
/** From a VM to its reader, to another reader, to that reader's VMs. */
const MAX_HOPS = 3;

/** Returns the newer of two observations of the same server. */
export function newerLoad(
  current: LoadObservation | undefined,
  next: LoadObservation,
): LoadObservation {
  if (current === undefined) return next;
  return next.observedAtMs > current.observedAtMs ? next : current;
}

/** Returns the requests to expect at a server; an old observation fades. */
export function expectedRequestCount(
  load: LoadObservation | undefined,
  nowMs: number,
): number {
  if (load === undefined) return 0;
  const ageMs = nowMs - load.observedAtMs;
  const share = (STALE_MS - ageMs) / (STALE_MS - FRESH_MS);
  return load.requestCount * Math.min(1, Math.max(0, share));
}

/** Returns the observations to send: recent ones, the newest first. */
export function loadsToShare(
  loads: Iterable<readonly [id: string, load: LoadObservation | undefined]>,
  options: { readonly nowMs: number; readonly maxHopCount: number },
): SharedLoad[] {
  const { nowMs, maxHopCount } = options;
  const shared: SharedLoad[] = [];
  for (const [id, load] of loads) {
    if (load === undefined || load.hopCount > maxHopCount) continue;
    const ageMs = Math.max(0, Math.round(nowMs - load.observedAtMs));
    if (ageMs > MAX_SHARED_AGE_MS) continue;
    const { requestCount, hopCount } = load;
    shared.push({ id, requestCount, ageMs, hopCount });
  }
  shared.sort((a, b) => a.ageMs - b.ageMs);
  return shared.slice(0, MAX_SHARED_LOADS);
}

/** Returns the observation that a VM keeps of one it was sent. */
export function receivedLoad(
  { requestCount, ageMs, hopCount }: SharedLoad,
  nowMs: number,
): LoadObservation {
  return {
    requestCount,
    observedAtMs: nowMs - ageMs,
    hopCount: hopCount + 1,
  };
}

/**
 * Returns the most hops of the observations for a receiver: all for a VM that
 * is not a reader; for a reader, what this VM's data centre observed, or what
 * this VM observed itself if it is not a reader.
 */
export function maxHopCountFor(roles: {
  readonly isSenderReader: boolean;
  readonly isReceiverReader: boolean;
}): number {
  if (!roles.isReceiverReader) return MAX_HOPS - 1;
  return roles.isSenderReader ? 1 : 0;
}
