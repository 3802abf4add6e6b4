/** Responses to callers that resume a retained answer at an index. */
import { notRun, type Refusal } from "../model/mod.ts";
import { chunkEvent, DONE_EVENT, errorEvent } from "./chat_body.ts";
import { headersOf } from "./chat_response.ts";
import {
  type RetainedAnswer,
  type RetainedAnswers,
} from "./retained_answers.ts";
import { problemOf, problemResponse } from "./problem.ts";

/** The answer to resume and the index of the first frame to send. */
export interface ResumeQuery {
  readonly requestId: string;
  readonly workspace: string;
  readonly from: number;
  readonly signal: AbortSignal;
}

/**
 * Streams a retained answer from an index and follows it while it is running.
 * Responds with a problem document if this VM has no such answer.
 */
export function respondResume(
  retainedAnswers: RetainedAnswers,
  query: ResumeQuery,
): Response {
  const answer = retainedAnswers.find(query.requestId);
  const head = answer?.head;
  if (answer?.workspace !== query.workspace || head === undefined) {
    return problemResponse(problemOf(unknownAnswer(), query.requestId));
  }
  const encoder = new TextEncoder();
  let index = query.from;
  const body = new ReadableStream<Uint8Array>({
    async pull(controller): Promise<void> {
      while (index >= answer.frames.length && isOpen(answer, query)) {
        await retainedAnswers.waitForChange(query.requestId, query.signal);
      }
      const frame = answer.frames[index];
      if (frame !== undefined) {
        index += 1;
        controller.enqueue(encoder.encode(chunkEvent(frame, head.version)));
        return;
      }
      controller.enqueue(encoder.encode(lastEvent(answer, query.requestId)));
      controller.close();
    },
  });
  return new Response(body, { headers: headersOf(head, "text/event-stream") });
}

function isOpen(answer: RetainedAnswer, query: ResumeQuery): boolean {
  return answer.end === undefined && !answer.isTruncated &&
    !query.signal.aborted;
}

function lastEvent(answer: RetainedAnswer, requestId: string): string {
  if (answer.end === "complete" && !answer.isTruncated) return DONE_EVENT;
  const refusal = typeof answer.end === "object" ? answer.end : unknownAnswer();
  return errorEvent(refusal, requestId);
}

function unknownAnswer(): Refusal {
  return notRun("answer_unknown", {
    detail: "this VM retains no answer to this request",
  });
}
