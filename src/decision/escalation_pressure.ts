/**
 * Brownout of the cascade: while engines have long queues, optional quality is
 * given up before answers are. The confidence below which an answer escalates
 * falls as the expected wait at the larger model's server grows, so the answers
 * nearest to the usual threshold are used first. The wait counts more for a
 * less urgent request, as engines admit the urgent ones before it. Without a
 * wait nothing changes, however long the prompt is.
 */

/** Waits up to this share of the target are usual and give up nothing. */
const USUAL_WAIT_SHARE = 0.4;
/** From this share of the target on, every answer is used. */
const FULL_WAIT_SHARE = 1;
/** Lower priorities count like this one. */
const LAST_PRIORITY = 3;

/** The load that an escalation would meet, and the request's time limits. */
export interface EscalationLoad {
  /** Expected queueing time at the larger model's server. */
  readonly waitMs: number;
  /** Expected time to process the prompt there, without queueing. */
  readonly prefillMs: number;
  /** Latency target of the route. */
  readonly targetMs: number;
  /** Time until the request's deadline. */
  readonly timeLeftMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/**
 * Returns how much of the usual escalation to give up, from 0 (nothing) to 1.
 * It is 1 as well when the larger model would not begin before the deadline.
 */
export function escalationPressure(load: EscalationLoad): number {
  const { waitMs, prefillMs, targetMs, timeLeftMs, priority } = load;
  if (waitMs + prefillMs >= timeLeftMs) return 1;
  const rank = Math.min(Math.max(0, priority), LAST_PRIORITY);
  const waitShare = waitMs * (1 + rank) / Math.max(1, targetMs);
  const share = (waitShare - USUAL_WAIT_SHARE) /
    (FULL_WAIT_SHARE - USUAL_WAIT_SHARE);
  return Math.min(1, Math.max(0, share));
}
