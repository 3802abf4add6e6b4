/**
 * Streams an engine's answer as server-sent events and injects stream faults:
 * silence, frames of another request, repeated frames, an early end, a reset.
 */
import { type ServerResponse } from "node:http";
import { type AnswerKey, frameText, LOW_QUALITY_MARK } from "./answer_text.ts";
import { type RecordedAttempt, type StreamFault } from "./engine_options.ts";
import { pause } from "./http_host.ts";

/** A frame in its form on the wire. */
export interface WrittenFrame {
  readonly requestId: string;
  readonly attempt: number;
  readonly index: number;
  readonly text: string;
  readonly isLast: boolean;
  readonly usage?: {
    readonly inputTokens: number;
    readonly outputTokens: number;
  };
}

export interface StreamOptions {
  readonly key: AnswerKey;
  readonly attempt: RecordedAttempt;
  readonly response: ServerResponse;
  readonly length: number;
  readonly inputTokens: number;
  readonly isLowQuality: boolean;
  readonly fault: StreamFault | undefined;
  readonly tokenMs: () => number;
  /** Another stream of the same engine to swap a crossed frame with. */
  readonly otherStream: () => EngineStream | undefined;
}

/** An answer that is being generated. */
export class EngineStream {
  readonly requestId: string;
  readonly #options: StreamOptions;
  #index: number;
  #isCancelled = false;

  constructor(options: StreamOptions) {
    this.#options = options;
    this.requestId = options.key.requestId;
    this.#index = options.attempt.fromIndex;
  }

  get producedCount(): number {
    return this.#options.attempt.frameCount;
  }

  /** Stops the answer and closes the connection without a last frame. */
  cancel(): void {
    this.#isCancelled = true;
  }

  /** Returns the next frame without writing it. */
  peek(): WrittenFrame {
    return this.#frameAt(this.#index);
  }

  /** Writes a frame, which may belong to another request, to the response. */
  write(frame: WrittenFrame): void {
    this.#options.response.write(`data: ${JSON.stringify(frame)}\n\n`);
  }

  /** Writes the frames from `fromIndex` to the last, or until a fault. */
  async run(): Promise<void> {
    const { attempt, length } = this.#options;
    const last = Math.max(length - 1, attempt.fromIndex);
    for (; this.#index <= last; this.#index += 1) {
      await pause(this.#options.tokenMs());
      if (this.#hasStopped()) return;
      const isCut = await this.#writeNextFrame();
      if (isCut) return;
    }
    attempt.outcome = "done";
    this.#options.response.end();
  }

  #hasStopped(): boolean {
    const { response, attempt } = this.#options;
    if (this.#isCancelled) {
      attempt.outcome = "cancelled";
      response.destroy();
      return true;
    }
    if (!response.destroyed) return false;
    attempt.outcome = "cut";
    return true;
  }

  async #writeNextFrame(): Promise<boolean> {
    const { fault, attempt, response } = this.#options;
    const isFaulty = fault !== undefined &&
      attempt.frameCount === fault.afterTokens;
    const frame = this.peek();
    attempt.frameCount += 1;
    if (!isFaulty) {
      this.write(frame);
      return false;
    }
    if (fault.kind === "crossed") {
      this.#writeCrossedFrame(frame);
      return false;
    }
    if (fault.kind === "repeated") {
      this.write(frame);
      this.write(frame);
      return false;
    }
    attempt.outcome = "cut";
    if (fault.kind === "ended_early") response.end();
    if (fault.kind === "reset") response.destroy();
    if (fault.kind === "silent") await waitForClose(response);
    return true;
  }

  #writeCrossedFrame(frame: WrittenFrame): void {
    const other = this.#options.otherStream();
    const foreignFrame = other?.peek() ??
      { ...frame, requestId: `${frame.requestId}.other` };
    other?.write(frame);
    this.write(foreignFrame);
  }

  #frameAt(index: number): WrittenFrame {
    const { key, attempt, length, isLowQuality, inputTokens } = this.#options;
    const isLast = index >= length - 1;
    const text = index < length ? frameText(key, index) : "";
    const frame = {
      requestId: key.requestId,
      attempt: attempt.attempt,
      index,
      text: isLowQuality ? `${LOW_QUALITY_MARK}${text}` : text,
      isLast,
    };
    if (!isLast) return frame;
    const outputTokens = index - attempt.fromIndex + 1;
    return { ...frame, usage: { inputTokens, outputTokens } };
  }
}

function waitForClose(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    if (response.destroyed) resolve();
    else response.once("close", () => resolve());
  });
}
