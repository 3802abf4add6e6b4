/** The response of a caller that continues a kept answer at an index. */
import { notRun, type Refusal } from "../model/mod.ts";
import { chunkEvent, DONE_EVENT, errorEvent } from "./chat_body.ts";
import { headersOf } from "./chat_response.ts";
import {
  type RetainedAnswer,
  type RetainedAnswers,
} from "./retained_answers.ts";
import { problemOf, problemResponse } from "./problem.ts";

/** Which part of which answer is wanted. */
export interface ResumeQuery {
  readonly requestId: string;
  readonly workspace: string;
  readonly from: number;
  readonly signal: AbortSignal;
}

/** Streams a kept answer from an index, and follows it while it runs. */
export function respondResume(
  kept: RetainedAnswers,
  query: ResumeQuery,
): Response {
  const answer = kept.find(query.requestId);
  const head = answer?.head;
  if (answer?.workspace !== query.workspace || head === undefined) {
    return problemResponse(problemOf(unknownAnswer(), query.requestId));
  }
  const encoder = new TextEncoder();
  let index = query.from;
  const body = new ReadableStream<Uint8Array>({
    async pull(controller): Promise<void> {
      while (index >= answer.frames.length && isOpen(answer, query)) {
        await kept.waitForChange(query.requestId, query.signal);
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
  if (answer.end === "whole" && !answer.isTruncated) return DONE_EVENT;
  const refusal = typeof answer.end === "object" ? answer.end : unknownAnswer();
  return errorEvent(refusal, requestId);
}

function unknownAnswer(): Refusal {
  return notRun("answer_unknown", {
    detail: "this VM keeps no answer of this request",
  });
}
