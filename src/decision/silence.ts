/**
 * Whether a request that has heard nothing from its server for a while goes to
 * another one. A server without a sign of work is left after a fixed silence.
 * One that works for others is left only when the request is overdue by its
 * place in the queue and another server is expected to be sooner, the repeated
 * prefill included, or when the request must have been lost.
 */

/** A request that waits for the first part of its answer, or the next one. */
export interface SilentRequest {
  /** Time since it was sent, or since the last part of its answer. */
  readonly silentMs: number;
  /** Silence after which a server without signs of work is left. */
  readonly boundMs: number;
  /** Silence after which a request is taken for lost at a working server. */
  readonly lostMs: number;
  /** Silence to expect from the request's place in the queue. */
  readonly expectedMs: number;
  /** Age of the last sign that the server works; Infinity without one. */
  readonly signAgeMs: number;
  /** Expected time until the server goes on, by its newest load. */
  readonly remainingMs: number;
}

/** Longest age of a sign of work: reports of other VMs take about a second. */
const MAX_SIGN_AGE_MS = 1500;
/**
 * The estimate for another server is assumed to be off by this multiple of the
 * error of the present one. Both come from loads that are a moment old, and the
 * other is the best of several, which favours those estimated too low.
 */
const ERROR_FACTOR = 2;
/** Time between two judgements of the same silence. */
const RECHECK_MS = { min: 50, max: 300 } as const;

/**
 * Returns how long to wait before the silence is judged again; 0 if the request
 * goes to another server. `nextMs` returns the time until that one's first
 * part, with the cost of the prompt's repeated prefill.
 */
export function silencePatienceMs(
  request: SilentRequest,
  nextMs: () => number,
): number {
  const { silentMs, boundMs, lostMs, expectedMs } = request;
  if (silentMs < boundMs) return boundMs - silentMs;
  const signLeftMs = Math.min(boundMs, MAX_SIGN_AGE_MS) - request.signAgeMs;
  if (request.signAgeMs >= silentMs || signLeftMs <= 0) return 0;
  if (silentMs >= lostMs) return 0;
  const isOverdue = silentMs >= expectedMs;
  const errorMs = ERROR_FACTOR * (silentMs - expectedMs);
  if (isOverdue && nextMs() + errorMs < request.remainingMs) return 0;
  const untilMs = Math.min(
    signLeftMs,
    lostMs - silentMs,
    isOverdue ? Infinity : expectedMs - silentMs,
  );
  return Math.min(RECHECK_MS.max, Math.max(RECHECK_MS.min, untilMs));
}

/** Time until a slot of a server with this many requests is free. */
export function slotWaitMs(server: {
  readonly loadCount: number;
  readonly slotCount: number;
  /** How long a request occupies a slot. */
  readonly holdMs: number;
}): number {
  const { loadCount, holdMs } = server;
  const slotCount = Math.max(1, server.slotCount);
  return Math.max(0, loadCount + 1 - slotCount) * holdMs / slotCount;
}
