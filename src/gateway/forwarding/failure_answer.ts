/** What callers get of requests for which no server's answer is passed on. */
import { isRetriable } from "../../model/mod.ts";
import {
  type CallerExchange,
  type CompleteAnswer,
} from "../callers/caller_exchange.ts";
import { type ForwardContext, type ForwardRequest } from "./forward_context.ts";
import { retryDelayMs } from "./retry_delay.ts";

/** Statuses that promise callers that their request has not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Delay before a retry of a request for whose answer there is no memory. */
const BUSY_RETRY_MS = 1000;

export interface RequestFailure {
  readonly exchange: CallerExchange;
  readonly reason: string;
  /** The status if a server may have run it; `undefined` if none has. */
  readonly sentStatus: number | undefined;
  /** A server's error, which goes before an answer of this VM. */
  readonly fallback?: CompleteAnswer | undefined;
}

/** Answers a request that failed; cuts an answer that has begun. */
export function answerFailure(
  context: ForwardContext,
  request: ForwardRequest,
  { exchange, reason, sentStatus, fallback }: RequestFailure,
): void {
  if (exchange.isHeadSent) return exchange.abort();
  if (fallback !== undefined) return exchange.answer(fallback);
  if (sentStatus !== undefined) {
    return exchange.refuse({ status: sentStatus, reason });
  }
  const retryAfterMs = retryDelayMs(context, request);
  exchange.refuse({ status: 503, reason, retryAfterMs });
}

/** Refuses a request that admission refuses. */
export function refuseOverloaded(
  { metrics }: ForwardContext,
  exchange: CallerExchange,
  retryAfterMs: number,
): void {
  const refusal = { status: 503, reason: "overloaded" };
  metrics.count("refused", refusal);
  exchange.refuse({ ...refusal, retryAfterMs });
}

/** Refuses a request for whose answer the VM has no memory. */
export function refuseBusy(
  { metrics }: ForwardContext,
  exchange: CallerExchange,
): void {
  const refusal = { status: 503, reason: "busy" };
  metrics.count("refused", refusal);
  exchange.refuse({ ...refusal, retryAfterMs: BUSY_RETRY_MS });
}

/** Whether callers take a status for "not run" of a request that may have. */
export function isFalsePromise(
  { route }: ForwardRequest,
  { status }: Pick<CompleteAnswer, "status">,
): boolean {
  return NOT_RUN_STATUSES.includes(status) && !isRetriable(route);
}
