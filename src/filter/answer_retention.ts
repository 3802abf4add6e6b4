/**
 * Outermost filter of a request's answer: keeps the frames for callers that
 * come back, and notes how the answer ended.
 */
import { type Filter } from "./chain.ts";
import { type RetainedAnswers } from "./retained_answers.ts";

/** Creates the filter. */
export function createAnswerRetentionFilter(kept: RetainedAnswers): Filter {
  return async (context, next) => {
    const { request } = context;
    if (request.kind !== "model") return next(context);
    const sink = kept.retain(request.requestId, {
      workspace: request.workspace,
      sink: context.sink,
    });
    const outcome = await next({ ...context, sink });
    kept.finish(
      request.requestId,
      outcome.isOk() ? "whole" : outcome.error,
    );
    return outcome;
  };
}
