/**
 * How long a request waits for the log where it can go on without it. While the
 * log is known to be unreachable the wait is short, so that an outage costs
 * little latency.
 */
import { type Journal } from "../client/mod.ts";

const OUTAGE_TIMEOUT_MS = 200;

/** The wait for an append that has another way to be kept. */
export function outageAwareTimeoutMs(
  journal: Journal,
  usualMs: number,
): number {
  if (journal.freshness().isLogReachable) return usualMs;
  return Math.min(usualMs, OUTAGE_TIMEOUT_MS);
}
