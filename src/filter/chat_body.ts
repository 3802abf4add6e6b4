/** Answers of models in the usual chat-completion shapes. */
import {
  type AnswerFrame,
  type Refusal,
  type TokenUsage,
  type VersionName,
} from "../model/mod.ts";
import { problemOf } from "./problem.ts";

/** The last event of a whole stream. */
export const DONE_EVENT = "data: [DONE]\n\n";

/** A whole answer. */
export interface CompleteAnswer {
  readonly requestId: string;
  readonly version: VersionName;
  readonly text: string;
  readonly usage: TokenUsage;
}

/** A `chat.completion` object. */
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

/** A `chat.completion.chunk` event; its id is the frame's index. */
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

/** The last event of a stream that is not whole. */
export function errorEvent(refusal: Refusal, requestId: string): string {
  const data = JSON.stringify(problemOf(refusal, requestId));
  return `event: error\ndata: ${data}\n\n`;
}
