/**
 * Where the frames of an answer go. The channel joins a chain that writes with
 * a response that reads; a slow reader holds the writer back.
 */
import { type AnswerFrame, type VersionName } from "../model/mod.ts";

/** What is known of an answer before its first frame. */
export interface AnswerHead {
  readonly requestId: string;
  readonly version: VersionName;
  /** The signed token of the session, for the caller to keep. */
  readonly sessionToken: string | undefined;
}

/** Takes the frames of one answer, in order. */
export interface AnswerSink {
  /** Called once, before the first frame. */
  begin(head: AnswerHead): void;
  /** Resolves when the next frame may be written. */
  write(frame: AnswerFrame): Promise<void>;
}

/** Most frames that wait for a slow reader. */
export const MAX_BUFFERED_FRAMES = 64;

/** A sink that is read as an async iterable. */
export class FrameChannel implements AnswerSink {
  #head: AnswerHead | undefined;
  #frames: AnswerFrame[] = [];
  #isClosed = false;
  #wakeReader: (() => void) | undefined;
  #wakeWriter: (() => void) | undefined;

  /** The head, once the answer has begun. */
  get head(): AnswerHead | undefined {
    return this.#head;
  }

  begin(head: AnswerHead): void {
    this.#head = head;
  }

  async write(frame: AnswerFrame): Promise<void> {
    if (this.#isClosed) return;
    this.#frames.push(frame);
    this.#wakeReader?.();
    if (this.#frames.length < MAX_BUFFERED_FRAMES) return;
    await new Promise<void>((resolve) => this.#wakeWriter = resolve);
  }

  /** Ends the channel: the reader drains it, a writer is not held back. */
  close(): void {
    this.#isClosed = true;
    this.#wakeReader?.();
    this.#wakeWriter?.();
  }

  /** The frames that wait, or an empty list once the channel is closed. */
  async take(): Promise<AnswerFrame[]> {
    if (this.#frames.length === 0 && !this.#isClosed) {
      await new Promise<void>((resolve) => this.#wakeReader = resolve);
    }
    const frames = this.#frames;
    this.#frames = [];
    this.#wakeWriter?.();
    return frames;
  }
}

/** Holds a whole answer back until it is known to be good enough. */
export class BufferSink implements AnswerSink {
  #head: AnswerHead | undefined;
  readonly #frames: AnswerFrame[] = [];

  begin(head: AnswerHead): void {
    this.#head = head;
  }

  write(frame: AnswerFrame): Promise<void> {
    this.#frames.push(frame);
    return Promise.resolve();
  }

  /** Writes what was held back to another sink. */
  async flushTo(sink: AnswerSink): Promise<void> {
    if (this.#head !== undefined) sink.begin(this.#head);
    for (const frame of this.#frames) await sink.write(frame);
  }
}
