/**
 * The request limit that a backend server names, as a limit to divide among the
 * VMs. The sum over the VMs stays below the limit plus a short burst; the
 * difference to what the platform tolerates covers views of the members that
 * differ.
 */
import { type DividedLimit } from "./divided_limit.ts";

/** Requests that all VMs together may always send at once. */
const LEAST_BURST_COUNT = 3;
/** A server that takes nothing is asked this often whether that still holds. */
const LEAST_PER_SECOND = 0.25;

/** Returns what the VMs may send to a server that names a limit. */
export function namedLimit(
  limitPerSecond: number,
  memberCount: number,
): DividedLimit {
  const perSecond = Math.max(LEAST_PER_SECOND, limitPerSecond);
  const burstCount = burstOf(perSecond, memberCount);
  return { perSecond, burstCount, maxVmCount: Math.floor(burstCount) };
}

/**
 * Returns the burst of all VMs together: up to a second's worth more. With few
 * members it is smaller, as one more that is not known weighs more then.
 */
function burstOf(perSecond: number, memberCount: number): number {
  const share = Math.max(0, 1 - 2 / memberCount);
  return LEAST_BURST_COUNT + share * perSecond;
}
