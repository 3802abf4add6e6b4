/**
 * Whether one request may be sent again: by its attempts so far, the time left,
 * the suspicion that servers end under it, and the budget of retries.
 */
import { type AttemptHistory } from "./attempt_history.ts";
import { type ForwardContext, type ForwardRequest } from "./forward_context.ts";
import { crashPartIds } from "../callers/request_digest.ts";
import { type RetryReason } from "./retry_budget.ts";

/** With less time left, a request is not sent again. */
const MIN_ATTEMPT_MS = 20;

/** Why a request was not sent again. */
export type RetryDenial = "time" | "attempts" | "suspect" | "budget";

export interface RequestRetriesOptions {
  readonly history: AttemptHistory;
  readonly timeLeftMs: () => number;
}

/** The retries of one request. */
export class RequestRetries {
  readonly #context: ForwardContext;
  readonly #request: ForwardRequest;
  readonly #options: RequestRetriesOptions;
  #denial: RetryDenial | undefined;

  constructor(
    context: ForwardContext,
    request: ForwardRequest,
    options: RequestRetriesOptions,
  ) {
    this.#context = context;
    this.#request = request;
    this.#options = options;
  }

  /** Why the last retry was not allowed; `undefined` if all were. */
  get denial(): RetryDenial | undefined {
    return this.#denial;
  }

  /** Takes and counts a retry after an attempt has ended, if one is allowed. */
  take(cause: string): boolean {
    this.#denial = this.#denialNow();
    if (this.#denial !== undefined) return false;
    const reason = cause === "unmarked_end" ? cause : "failure";
    const { wasSent, isRetryLeft } = this.#options.history;
    if (wasSent && !isRetryLeft && !this.spend(reason)) return false;
    this.count(cause);
    return true;
  }

  /** Takes one retry from the budget; if none is left, counts a forgone retry. */
  spend(reason: RetryReason): boolean {
    const { service } = this.#request;
    const { budget, metrics } = this.#context;
    if (budget.spend(service, reason)) return true;
    metrics.count("repeats_forgone", { service, reason });
    this.#denial = "budget";
    return false;
  }

  /** Counts a retry by its cause. */
  count(cause: string): void {
    const { service } = this.#request;
    this.#context.metrics.count("repeats", { service, cause });
  }

  #denialNow(): RetryDenial | undefined {
    const { history, timeLeftMs } = this.#options;
    if (timeLeftMs() < MIN_ATTEMPT_MS) return "time";
    if (!history.mayRetry()) return "attempts";
    const partIds = crashPartIds(this.#request);
    return this.#context.prompts.isSuspect(partIds) ? "suspect" : undefined;
  }
}
