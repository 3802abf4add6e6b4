/**
 * How far one version has come with an answer, over all attempts at it. It
 * gives the place to resume at and the usage to bill: what the caller would
 * have paid had no attempt failed.
 */
import {
  type AnswerFrame,
  type ChatMessage,
  type TokenUsage,
} from "../model/mod.ts";

const CHARACTERS_PER_TOKEN = 4;

/** The frames relayed so far. */
export class AnswerProgress {
  #text = "";
  #nextIndex = 0;
  #startIndex = 0;
  #last: AnswerFrame | undefined;
  #producedCount = 0;

  /** The text of all frames so far. */
  get text(): string {
    return this.#text;
  }

  /** The index of the next frame. */
  get nextIndex(): number {
    return this.#nextIndex;
  }

  /** Whether the last frame has come. */
  get isWhole(): boolean {
    return this.#last !== undefined;
  }

  /** Marks the start of a further attempt. */
  startAttempt(): void {
    this.#startIndex = this.#nextIndex;
  }

  /** Takes the next frame. */
  add(frame: AnswerFrame): void {
    this.#text += frame.text;
    this.#nextIndex = frame.index + 1;
    if (frame.isLast) this.#last = frame;
  }

  /** Notes the tokens that a cancelled attempt had produced. */
  recordProducedTokens(outputTokens: number | undefined): void {
    if (outputTokens === undefined) return;
    this.#producedCount = this.#startIndex + outputTokens;
  }

  /** The tokens of the answer, however many attempts it took. */
  usage(messages: readonly ChatMessage[]): TokenUsage {
    const reported = this.#last?.usage;
    if (reported === undefined) {
      return {
        inputTokens: estimateTokens(messages),
        outputTokens: Math.max(this.#nextIndex, this.#producedCount),
      };
    }
    const earlier = this.#startIndex;
    return {
      inputTokens: Math.max(0, reported.inputTokens - earlier),
      outputTokens: earlier + reported.outputTokens,
    };
  }
}

/** The tokens of a prompt, where no engine has counted them. */
export function estimateTokens(messages: readonly ChatMessage[]): number {
  let length = 0;
  for (const message of messages) length += message.content.length;
  return Math.ceil(length / CHARACTERS_PER_TOKEN);
}
