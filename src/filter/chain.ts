/**
 * The filter chain of requests. A filter sees the context of one request, may
 * refuse it, may pass a changed context on, and sees what came of it. Filters
 * never throw for an outcome; they return it.
 */
import { type Result } from "neverthrow";
import { type Refusal } from "../model/mod.ts";
import { type Answer, type RequestContext } from "./context.ts";

/** What a request came to. */
export type Outcome = Result<Answer, Refusal>;

/** The rest of the chain. */
export type Next = (context: RequestContext) => Promise<Outcome>;

/** One step of the chain. */
export type Filter = (
  context: RequestContext,
  next: Next,
) => Promise<Outcome>;

/** Joins filters, first to last, in front of `last`. */
export function createChain(filters: readonly Filter[], last: Next): Next {
  return filters.reduceRight<Next>(
    (next, filter) => (context) => filter(context, next),
    last,
  );
}
