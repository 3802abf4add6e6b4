/**
 * Progress of one version's answer across attempts: the index to resume at and
 * the usage to bill, which is what a single successful attempt would have cost.
 */
import {
  type AnswerFrame,
  type ChatMessage,
  type TokenUsage,
} from "../model/mod.ts";

const CHARACTERS_PER_TOKEN = 4;

/** Accumulates the frames relayed to the caller. */
export class AnswerProgress {
  #text = "";
  #nextIndex = 0;
  #startIndex = 0;
  #last: AnswerFrame | undefined;
  #producedCount = 0;

  /** Concatenated text of the relayed frames. */
  get text(): string {
    return this.#text;
  }

  /** Index of the next frame to relay. */
  get nextIndex(): number {
    return this.#nextIndex;
  }

  /** Whether the last frame was relayed. */
  get isComplete(): boolean {
    return this.#last !== undefined;
  }

  /** Starts a new attempt at the next index. */
  startAttempt(): void {
    this.#startIndex = this.#nextIndex;
  }

  /** Appends the next frame. */
  add(frame: AnswerFrame): void {
    this.#text += frame.text;
    this.#nextIndex = frame.index + 1;
    if (frame.isLast) this.#last = frame;
  }

  /** Records the output tokens that a cancelled attempt had produced. */
  recordProducedTokens(outputTokens: number | undefined): void {
    if (outputTokens === undefined) return;
    this.#producedCount = this.#startIndex + outputTokens;
  }

  /**
   * Token usage of the answer over all attempts. Without usage reported by an
   * engine, estimates the input tokens and counts the output tokens produced.
   */
  usage(messages: readonly ChatMessage[]): TokenUsage {
    const reported = this.#last?.usage;
    if (reported === undefined) {
      return {
        inputTokens: estimateTokens(messages),
        outputTokens: Math.max(this.#nextIndex, this.#producedCount),
      };
    }
    const earlierCount = this.#startIndex;
    return {
      inputTokens: Math.max(0, reported.inputTokens - earlierCount),
      outputTokens: earlierCount + reported.outputTokens,
    };
  }
}

/** Estimates the tokens of a prompt from its length in characters. */
export function estimateTokens(messages: readonly ChatMessage[]): number {
  let length = 0;
  for (const message of messages) length += message.content.length;
  return Math.ceil(length / CHARACTERS_PER_TOKEN);
}
