/**
 * The filter chain of requests. A filter receives the context of one request.
 * It may refuse the request or pass a changed context to the next filter, whose
 * outcome it receives. Refusals are returned, never thrown.
 */
import { type Result } from "neverthrow";
import { type Refusal } from "../model/mod.ts";
import { type Answer, type RequestContext } from "./context.ts";

/** The answer to a request, or its refusal. */
export type Outcome = Result<Answer, Refusal>;

/** The rest of the chain. */
export type Next = (context: RequestContext) => Promise<Outcome>;

/** One filter of the chain; `next` runs the rest of the chain. */
export type Filter = (
  context: RequestContext,
  next: Next,
) => Promise<Outcome>;

/** Chains filters in order, ending with `last`. */
export function createChain(filters: readonly Filter[], last: Next): Next {
  return filters.reduceRight<Next>(
    (next, filter) => (context) => filter(context, next),
    last,
  );
}
