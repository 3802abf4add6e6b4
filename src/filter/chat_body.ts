/** Encodes model answers as chat-completion objects and events. */
import {
  type AnswerFrame,
  type Refusal,
  type TokenUsage,
  type VersionName,
} from "../model/mod.ts";
import { problemOf } from "./problem.ts";

/** The last event of a complete stream. */
export const DONE_EVENT = "data: [DONE]\n\n";

/** An answer with its joined text and total usage. */
export interface CompleteAnswer {
  readonly requestId: string;
  readonly version: VersionName;
  readonly text: string;
  readonly usage: TokenUsage;
}

/** Returns the `chat.completion` object of an answer. */
export function completionOf(answer: CompleteAnswer): unknown {
  const { inputTokens, outputTokens } = answer.usage;
  return {
    id: answer.requestId,
    object: "chat.completion",
    model: answer.version,
    choices: [{
      index: 0,
      message: { role: "assistant", content: answer.text },
      finish_reason: "stop",
    }],
    usage: {
      prompt_tokens: inputTokens,
      completion_tokens: outputTokens,
      total_tokens: inputTokens + outputTokens,
    },
  };
}

/** Encodes a `chat.completion.chunk` event; its id is the frame's index. */
export function chunkEvent(frame: AnswerFrame, version: VersionName): string {
  const chunk = {
    id: frame.requestId,
    object: "chat.completion.chunk",
    model: version,
    choices: [{
      index: 0,
      delta: { content: frame.text },
      finish_reason: frame.isLast ? "stop" : null,
    }],
  };
  return `id: ${frame.index}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

/** Encodes the last event of an incomplete stream. */
export function errorEvent(refusal: Refusal, requestId: string): string {
  const data = JSON.stringify(problemOf(refusal, requestId));
  return `event: error\ndata: ${data}\n\n`;
}
