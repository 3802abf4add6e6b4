/**
 * Filter that retains the frames of a model answer, so that a caller can resume
 * it after losing its connection.
 */
import { type Filter } from "./chain.ts";
import { type RetainedAnswers } from "./retained_answers.ts";

/** Creates the filter that retains frames and records how an answer ended. */
export function createAnswerRetentionFilter(
  retainedAnswers: RetainedAnswers,
): Filter {
  return async (context, next) => {
    const { request } = context;
    if (request.kind !== "model") return next(context);
    const sink = retainedAnswers.retain(request.requestId, {
      workspace: request.workspace,
      sink: context.sink,
    });
    const outcome = await next({ ...context, sink });
    retainedAnswers.finish(
      request.requestId,
      outcome.isOk() ? "complete" : outcome.error,
    );
    return outcome;
  };
}
