/**
 * One answer of an engine as server-sent events, with the faults that a stream
 * can have: silence, frames of another request, repeated frames, an early end.
 */
import { type ServerResponse } from "node:http";
import { type AnswerKey, frameText, LOW_QUALITY_MARK } from "./answer_text.ts";
import { type RecordedAttempt, type StreamFault } from "./engine_options.ts";
import { pause } from "./http_host.ts";

/** A frame as it is written. */
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

/** What a stream needs to know of its request. */
export interface StreamOptions {
  readonly key: AnswerKey;
  readonly attempt: RecordedAttempt;
  readonly response: ServerResponse;
  readonly length: number;
  readonly inputTokens: number;
  readonly isLowQuality: boolean;
  readonly fault: StreamFault | undefined;
  readonly tokenMs: () => number;
  /** Another stream of the same engine, for crossed frames. */
  readonly otherStream: () => EngineStream | undefined;
}

/** One running answer. */
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

  /** Stops the answer; the connection is closed without a last frame. */
  cancel(): void {
    this.#isCancelled = true;
  }

  /** The frame that this stream is about to write. */
  peek(): WrittenFrame {
    return this.#frameAt(this.#index);
  }

  /** Writes a frame to this stream's caller, whosesoever frame it is. */
  write(frame: WrittenFrame): void {
    this.#options.response.write(`data: ${JSON.stringify(frame)}\n\n`);
  }

  /** Writes the whole answer from its first index on. */
  async run(): Promise<void> {
    const { attempt: seen, length } = this.#options;
    const last = Math.max(length - 1, seen.fromIndex);
    for (; this.#index <= last; this.#index += 1) {
      await pause(this.#options.tokenMs());
      if (this.#isEnded()) return;
      const isCut = await this.#step();
      if (isCut) return;
    }
    seen.outcome = "done";
    this.#options.response.end();
  }

  #isEnded(): boolean {
    const { response, attempt: seen } = this.#options;
    if (this.#isCancelled) {
      seen.outcome = "cancelled";
      response.destroy();
      return true;
    }
    if (!response.destroyed) return false;
    seen.outcome = "cut";
    return true;
  }

  async #step(): Promise<boolean> {
    const { fault, attempt: seen, response } = this.#options;
    const isFaulty = fault !== undefined &&
      seen.frameCount === fault.afterTokens;
    const frame = this.peek();
    seen.frameCount += 1;
    if (!isFaulty) {
      this.write(frame);
      return false;
    }
    if (fault.kind === "crossed") {
      this.#cross(frame);
      return false;
    }
    if (fault.kind === "repeated") {
      this.write(frame);
      this.write(frame);
      return false;
    }
    seen.outcome = "cut";
    if (fault.kind === "ended_early") response.end();
    if (fault.kind === "reset") response.destroy();
    if (fault.kind === "silent") await closed(response);
    return true;
  }

  #cross(frame: WrittenFrame): void {
    const other = this.#options.otherStream();
    const alien = other?.peek() ??
      { ...frame, requestId: `${frame.requestId}.other` };
    other?.write(frame);
    this.write(alien);
  }

  #frameAt(index: number): WrittenFrame {
    const { key, attempt: seen, length, isLowQuality: isBad, inputTokens } =
      this.#options;
    const isLast = index >= length - 1;
    const known = index < length ? frameText(key, index) : "";
    const frame = {
      requestId: key.requestId,
      attempt: seen.attempt,
      index,
      text: isBad ? `${LOW_QUALITY_MARK}${known}` : known,
      isLast,
    };
    if (!isLast) return frame;
    const outputTokens = index - seen.fromIndex + 1;
    return { ...frame, usage: { inputTokens, outputTokens } };
  }
}

function closed(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    if (response.destroyed) resolve();
    else response.once("close", () => resolve());
  });
}
