/**
 * What VMs tell each other of the backend servers. Of two observations of a
 * server the newer one wins, whoever made it, so they may arrive in any order
 * and twice. A message holds a bounded number of recent observations, and none
 * goes back to where it came from: a VM tells its store reader what it observed
 * itself, a reader tells other readers what its data centre observed.
 */

/** An observation of a server, as one VM holds it. */
export interface Observation {
  /** By the clock of the VM that holds the observation. */
  readonly observedAtMs: number;
  /** How many VMs passed it on; 0 for this VM's own observations. */
  readonly hopCount: number;
}

/** An observation to send, with its age. */
export interface RecentObservation<Kind extends Observation> {
  readonly id: string;
  readonly ageMs: number;
  readonly observation: Kind;
}

/** Older observations are not passed on. */
const MAX_SHARED_AGE_MS = 2000;
/** Bounds a message, whatever the number of servers. */
export const MAX_SHARED_OBSERVATIONS = 64;
/** From a VM to its reader, to another reader, to that reader's VMs. */
const MAX_HOPS = 3;

/** Returns the newer of two observations of the same server. */
export function newerOf<Kind extends Observation>(
  current: Kind | undefined,
  next: Kind,
): Kind {
  if (current === undefined) return next;
  return next.observedAtMs > current.observedAtMs ? next : current;
}

/** Returns the observations to send: recent ones, the newest first. */
export function recentObservations<Kind extends Observation>(
  observations: Iterable<readonly [id: string, observation: Kind | undefined]>,
  options: { readonly nowMs: number; readonly maxHopCount: number },
): RecentObservation<Kind>[] {
  const { nowMs, maxHopCount } = options;
  const recent: RecentObservation<Kind>[] = [];
  for (const [id, observation] of observations) {
    if (observation === undefined) continue;
    if (observation.hopCount > maxHopCount) continue;
    const ageMs = Math.max(0, Math.round(nowMs - observation.observedAtMs));
    if (ageMs <= MAX_SHARED_AGE_MS) recent.push({ id, ageMs, observation });
  }
  recent.sort((a, b) => a.ageMs - b.ageMs);
  return recent.slice(0, MAX_SHARED_OBSERVATIONS);
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
