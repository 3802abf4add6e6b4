/** Converts refusals to HTTP problem documents (RFC 9457). */
import { type Refusal, type RefusalReason } from "../model/mod.ts";

/** The media type of a problem document. */
export const PROBLEM_CONTENT_TYPE = "application/problem+json";

/** A problem document; `outcome` and the fields after it are extensions. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly outcome: Refusal["outcome"];
  readonly reason: RefusalReason;
  readonly retryAfterMs?: number;
  readonly requestId?: string;
}

const MS_PER_SECOND = 1000;
const INTERNAL_ERROR = 500;

const STATUS: ReadonlyMap<RefusalReason, number> = new Map([
  ["bad_request", 400],
  ["unauthorized", 403],
  ["no_allowed_version", 403],
  ["budget_spent", 403],
  ["answer_unknown", 404],
  ["key_in_use", 409],
  ["key_expired", 409],
  ["version_withdrawn", 409],
  ["key_reused", 422],
  ["overloaded", 429],
  ["cancelled", 499],
  ["backend_failed", 502],
  ["no_backend_server", 503],
  ["log_unavailable", 503],
  ["settings_stale", 503],
  ["outbox_full", 503],
  ["shutting_down", 503],
  ["deadline_exceeded", 504],
  ["backend_silent", 504],
]);

/** Returns the problem document of a refusal. */
export function problemOf(
  refusal: Refusal,
  requestId?: string,
  status: number = STATUS.get(refusal.reason) ?? INTERNAL_ERROR,
): Problem {
  const { outcome, reason, detail, retryAfterMs } = refusal;
  return {
    type: `urn:goldcrestpost:${reason}`,
    title: reason.replaceAll("_", " "),
    status,
    detail,
    outcome,
    reason,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...(requestId === undefined ? {} : { requestId }),
  };
}

/** Returns the HTTP response of a problem document. */
export function problemResponse(problem: Problem): Response {
  const headers = new Headers({ "content-type": PROBLEM_CONTENT_TYPE });
  if (problem.requestId !== undefined) {
    headers.set("goldcrest-request-id", problem.requestId);
  }
  if (problem.retryAfterMs !== undefined) {
    const seconds = Math.max(
      1,
      Math.ceil(problem.retryAfterMs / MS_PER_SECOND),
    );
    headers.set("retry-after", String(seconds));
  }
  return new Response(JSON.stringify(problem), {
    status: problem.status,
    headers,
  });
}
