/**
 * Sinks for the frames of an answer. The channel passes frames from a filter
 * chain to an HTTP response, with back-pressure on the chain.
 */
import { type AnswerFrame, type VersionName } from "../model/mod.ts";

/** Metadata of an answer, available before its first frame. */
export interface AnswerHead {
  readonly requestId: string;
  readonly version: VersionName;
  /** Signed session token that the caller sends with later requests. */
  readonly sessionToken: string | undefined;
}

/** Receives the frames of one answer in order. */
export interface AnswerSink {
  /** Called once, before the first frame. */
  begin(head: AnswerHead): void;
  /** Resolves when the next frame may be written. */
  write(frame: AnswerFrame): Promise<void>;
}

/** Buffered frames at which a write waits for the reader. */
export const MAX_BUFFERED_FRAMES = 64;

/** A bounded queue of frames between a writer and one reader. */
export class FrameChannel implements AnswerSink {
  #head: AnswerHead | undefined;
  #frames: AnswerFrame[] = [];
  #isClosed = false;
  #wakeReader: (() => void) | undefined;
  #wakeWriter: (() => void) | undefined;

  /** Metadata of the answer, `undefined` before `begin`. */
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

  /**
   * Closes the channel and releases a waiting writer. Buffered frames can still
   * be read; later writes are ignored.
   */
  close(): void {
    this.#isClosed = true;
    this.#wakeReader?.();
    this.#wakeWriter?.();
  }

  /**
   * Removes and returns the buffered frames, waiting for at least one; an empty
   * list means that the channel is closed.
   */
  async read(): Promise<AnswerFrame[]> {
    if (this.#frames.length === 0 && !this.#isClosed) {
      await new Promise<void>((resolve) => this.#wakeReader = resolve);
    }
    const frames = this.#frames;
    this.#frames = [];
    this.#wakeWriter?.();
    return frames;
  }
}

/** Buffers an answer until it has been rated. */
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

  /** Writes the buffered answer to another sink. */
  async flushTo(sink: AnswerSink): Promise<void> {
    if (this.#head !== undefined) sink.begin(this.#head);
    for (const frame of this.#frames) await sink.write(frame);
  }
}
