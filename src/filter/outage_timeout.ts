/**
 * Timeouts of appends whose record can go to an outbox instead. The timeout is
 * short while the log is unreachable, so that an outage adds little latency.
 */
import { type Journal } from "../client/mod.ts";

const OUTAGE_TIMEOUT_MS = 200;

/** Returns `usualMs`, or a short timeout while the log is unreachable. */
export function outageAwareTimeoutMs(
  journal: Journal,
  usualMs: number,
): number {
  if (journal.freshness().isLogReachable) return usualMs;
  return Math.min(usualMs, OUTAGE_TIMEOUT_MS);
}
