/**
 * Responses of model requests. A streamed response is opened with its first
 * frame, so that a refusal before it has its own status; `[DONE]` follows only
 * when the chain has returned the whole answer, its bill included.
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

/** The result of the chain. */
type ChainResult = Result<Answer, Refusal>;

/** Runs a model request and gives its response. */
export async function respondChat(
  handler: RequestHandler,
  identified: IdentifiedRequest<ModelRequest>,
  callerGone: AbortSignal,
): Promise<Response> {
  const { request } = identified;
  const gone = new AbortController();
  const onGone = (): void => gone.abort();
  if (callerGone.aborted) onGone();
  else callerGone.addEventListener("abort", onGone, { once: true });
  const channel = new FrameChannel();
  gone.signal.addEventListener("abort", () => channel.close());
  const result = handler.handle(identified, {
    sink: channel,
    callerSignal: gone.signal,
  }).finally(() => channel.close());
  if (!request.isStreaming) return await respondJson(request, channel, result);
  const first = await channel.take();
  const head = channel.head;
  if (first.length === 0 || head === undefined) {
    return respondPlain(request.requestId, await result);
  }
  const body = streamBody({ head, first, channel, result, onCancel: onGone });
  return new Response(body, { headers: headersOf(head, "text/event-stream") });
}

async function respondJson(
  request: ModelRequest,
  channel: FrameChannel,
  result: Promise<ChainResult>,
): Promise<Response> {
  while ((await channel.take()).length > 0) {
    // The frames are joined in the chain's own result.
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

/** The response of a refusal or of a plain answer. */
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
  let waiting: readonly AnswerFrame[] = input.first;
  return new ReadableStream({
    async pull(controller): Promise<void> {
      const frames = waiting.length > 0 ? waiting : await channel.take();
      waiting = [];
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

/** The headers of an answer's response. */
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
