/**
 * Responses to model requests. A streamed response starts with the first frame,
 * so that an earlier refusal is sent with its own status code. `[DONE]` is sent
 * only after the filter chain has returned, and so after billing.
 */
import { type Result } from "neverthrow";
import {
  type AnswerFrame,
  type ModelRequest,
  type Refusal,
} from "../model/mod.ts";
import { type AnswerHead, FrameChannel } from "./answer_sink.ts";
import {
  chunkEvent,
  completionOf,
  DONE_EVENT,
  errorEvent,
} from "./chat_body.ts";
import { type Answer } from "./context.ts";
import { type IdentifiedRequest } from "./identify.ts";
import { problemOf, problemResponse } from "./problem.ts";
import { type RequestHandler } from "./request_handler.ts";

type ChainResult = Result<Answer, Refusal>;

/** Runs a model request and returns its response, streamed if requested. */
export async function respondChat(
  handler: RequestHandler,
  identified: IdentifiedRequest<ModelRequest>,
  callerSignal: AbortSignal,
): Promise<Response> {
  const { request } = identified;
  const cancellation = new AbortController();
  const cancel = (): void => cancellation.abort();
  if (callerSignal.aborted) cancel();
  else callerSignal.addEventListener("abort", cancel, { once: true });
  const channel = new FrameChannel();
  cancellation.signal.addEventListener("abort", () => channel.close());
  const result = handler.handle(identified, {
    sink: channel,
    callerSignal: cancellation.signal,
  }).finally(() => channel.close());
  if (!request.isStreaming) return await respondJson(request, channel, result);
  const first = await channel.read();
  const head = channel.head;
  if (first.length === 0 || head === undefined) {
    return respondPlain(request.requestId, await result);
  }
  const body = streamBody({ head, first, channel, result, onCancel: cancel });
  return new Response(body, { headers: headersOf(head, "text/event-stream") });
}

async function respondJson(
  request: ModelRequest,
  channel: FrameChannel,
  result: Promise<ChainResult>,
): Promise<Response> {
  while ((await channel.read()).length > 0) {
    // The result of the chain holds the joined text of the frames.
  }
  const outcome = await result;
  const head = channel.head;
  if (outcome.isErr() || outcome.value.kind !== "model" || head === undefined) {
    return respondPlain(request.requestId, outcome);
  }
  const { version, text, usage } = outcome.value;
  const { requestId } = request;
  const completion = completionOf({ requestId, version, text, usage });
  return new Response(JSON.stringify(completion), {
    headers: headersOf(head, "application/json"),
  });
}

/** Returns the unstreamed response of a refusal or an answer. */
export function respondPlain(
  requestId: string,
  outcome: ChainResult,
): Response {
  if (outcome.isErr()) {
    return problemResponse(problemOf(outcome.error, requestId));
  }
  const answer = outcome.value;
  if (answer.kind === "model") {
    const { version, text, usage } = answer;
    const completion = completionOf({ requestId, version, text, usage });
    return Response.json(completion);
  }
  const isBodyless = answer.status === 204 || answer.status === 304;
  return new Response(isBodyless ? null : Buffer.from(answer.body), {
    status: answer.status,
    headers: {
      "content-type": answer.contentType,
      "goldcrest-request-id": requestId,
    },
  });
}

interface StreamInput {
  readonly head: AnswerHead;
  readonly first: readonly AnswerFrame[];
  readonly channel: FrameChannel;
  readonly result: Promise<ChainResult>;
  readonly onCancel: () => void;
}

function streamBody(input: StreamInput): ReadableStream<Uint8Array> {
  const { head, channel, result, onCancel } = input;
  const encoder = new TextEncoder();
  let pending: readonly AnswerFrame[] = input.first;
  return new ReadableStream({
    async pull(controller): Promise<void> {
      const frames = pending.length > 0 ? pending : await channel.read();
      pending = [];
      if (frames.length > 0) {
        const text = frames.map((frame) => chunkEvent(frame, head.version));
        controller.enqueue(encoder.encode(text.join("")));
        return;
      }
      const outcome = await result;
      const last = outcome.match(
        () => DONE_EVENT,
        (refusal) => errorEvent(refusal, head.requestId),
      );
      controller.enqueue(encoder.encode(last));
      controller.close();
    },
    cancel: onCancel,
  });
}

/** Response headers of a model answer. */
export function headersOf(head: AnswerHead, contentType: string): Headers {
  const headers = new Headers({
    "content-type": contentType,
    "goldcrest-request-id": head.requestId,
  });
  if (head.sessionToken !== undefined) {
    headers.set("goldcrest-session-token", head.sessionToken);
  }
  return headers;
}
