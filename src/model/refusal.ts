/**
 * Refusals, which a caller receives instead of an answer. The outcome `not_run`
 * guarantees that no byte of the request was written to any backend server.
 */

/** Whether the refused request may have had an effect. */
export type RefusalOutcome = "not_run" | "may_have_run" | "failed";

export type RefusalReason =
  | "bad_request"
  | "unauthorized"
  | "no_allowed_version"
  | "version_withdrawn"
  | "budget_spent"
  | "overloaded"
  | "deadline_exceeded"
  | "no_backend_server"
  | "backend_failed"
  | "backend_silent"
  | "log_unavailable"
  | "settings_stale"
  | "outbox_full"
  | "shutting_down"
  | "key_in_use"
  | "key_expired"
  | "key_reused"
  | "answer_unknown"
  | "cancelled";

/** A refusal, as sent to the caller and stored in records. */
export interface Refusal {
  readonly outcome: RefusalOutcome;
  readonly reason: RefusalReason;
  readonly detail: string;
  /** Delay before the caller may retry; absent if a retry cannot succeed. */
  readonly retryAfterMs: number | undefined;
}

interface RefusalOptions {
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** Refuses a request that was not written to any backend server. */
export function notRun(
  reason: RefusalReason,
  options: RefusalOptions,
): Refusal {
  return create("not_run", { reason, ...options });
}

/** Refuses a request that may have run at a backend server. */
export function mayHaveRun(
  reason: RefusalReason,
  options: RefusalOptions,
): Refusal {
  return create("may_have_run", { reason, ...options });
}

/** Refuses a request that ran and produced no complete answer. */
export function failed(
  reason: RefusalReason,
  options: RefusalOptions,
): Refusal {
  return create("failed", { reason, ...options });
}

function create(
  outcome: RefusalOutcome,
  options: RefusalOptions & { readonly reason: RefusalReason },
): Refusal {
  return {
    outcome,
    reason: options.reason,
    detail: options.detail,
    retryAfterMs: options.retryAfterMs,
  };
}
