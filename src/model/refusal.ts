/**
 * Refusals: what a caller is told instead of an answer. `not_run` is said only
 * when no byte of the request was written to any backend server.
 */

/** Whether the refused request can have had an effect. */
export type RefusalOutcome = "not_run" | "may_have_run" | "failed";

/** Why a request was refused. */
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

/** A refusal, as it is sent to the caller and kept in records. */
export interface Refusal {
  readonly outcome: RefusalOutcome;
  readonly reason: RefusalReason;
  readonly detail: string;
  /** When the caller may ask again; absent where asking again is no use. */
  readonly retryAfterMs: number | undefined;
}

interface RefusalOptions {
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** A refusal of a request that reached no backend server. */
export function notRun(
  reason: RefusalReason,
  options: RefusalOptions,
): Refusal {
  return create("not_run", { reason, ...options });
}

/** A refusal of a request whose effect is unknown. */
export function mayHaveRun(
  reason: RefusalReason,
  options: RefusalOptions,
): Refusal {
  return create("may_have_run", { reason, ...options });
}

/** A refusal of a request that ran and produced no whole answer. */
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
