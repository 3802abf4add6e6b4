/**
 * Answers retained for callers that lost their connection. A caller can resume
 * one at any index, also while it is running. Bounded in number and bytes; the
 * oldest finished answer is evicted first.
 */
import { type AnswerFrame, type Refusal } from "../model/mod.ts";
import { type AnswerHead, type AnswerSink } from "./answer_sink.ts";

/** Limits of the retained answers. */
export interface RetainedAnswersOptions {
  readonly maxAnswers: number;
  readonly maxBytes: number;
}

/** How a retained answer ended. */
export type RetainedAnswerEnd = "complete" | Refusal;

/** One retained answer; `end` is set once it has finished. */
export interface RetainedAnswer {
  readonly workspace: string;
  readonly head: AnswerHead | undefined;
  readonly frames: readonly AnswerFrame[];
  readonly end: RetainedAnswerEnd | undefined;
  /** Whether its frames were discarded because it exceeded the size limit. */
  readonly isTruncated: boolean;
}

class Entry implements RetainedAnswer {
  readonly workspace: string;
  head: AnswerHead | undefined;
  readonly frames: AnswerFrame[] = [];
  end: RetainedAnswerEnd | undefined;
  isTruncated = false;
  sizeBytes = 0;
  readonly waiting = new Set<() => void>();

  constructor(workspace: string) {
    this.workspace = workspace;
  }

  notifyWaiters(): void {
    for (const resolve of this.waiting) resolve();
    this.waiting.clear();
  }
}

const FRAME_OVERHEAD_BYTES = 96;

/** A bounded store of answers by request id. */
export class RetainedAnswers {
  readonly #options: RetainedAnswersOptions;
  readonly #entries = new Map<string, Entry>();
  #sizeBytes = 0;

  constructor(options: RetainedAnswersOptions) {
    this.#options = options;
  }

  /** Number of retained answers. */
  get count(): number {
    return this.#entries.size;
  }

  /** Estimated total size of the retained answers. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Returns a sink that retains the frames it forwards to `options.sink`. */
  retain(
    requestId: string,
    options: { readonly workspace: string; readonly sink: AnswerSink },
  ): AnswerSink {
    const entry = new Entry(options.workspace);
    this.#remove(requestId);
    this.#entries.set(requestId, entry);
    this.#evict();
    return {
      begin: (head) => {
        entry.head = head;
        options.sink.begin(head);
      },
      write: (frame) => {
        this.#add(requestId, entry, frame);
        return options.sink.write(frame);
      },
    };
  }

  /** Records how an answer ended; one without frames is removed. */
  finish(requestId: string, end: RetainedAnswerEnd): void {
    const entry = this.#entries.get(requestId);
    if (entry === undefined) return;
    entry.end = end;
    entry.notifyWaiters();
    if (entry.frames.length === 0) this.#remove(requestId);
  }

  /** Returns the retained answer of a request unless it was truncated. */
  find(requestId: string): RetainedAnswer | undefined {
    const entry = this.#entries.get(requestId);
    return entry === undefined || entry.isTruncated ? undefined : entry;
  }

  /**
   * Resolves when a running answer has a new frame, has ended or was evicted,
   * or when `signal` aborts.
   */
  async waitForChange(requestId: string, signal: AbortSignal): Promise<void> {
    const entry = this.#entries.get(requestId);
    if (entry === undefined || entry.end !== undefined) return;
    await new Promise<void>((resolve) => {
      entry.waiting.add(resolve);
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
  }

  #add(requestId: string, entry: Entry, frame: AnswerFrame): void {
    if (this.#entries.get(requestId) !== entry || entry.isTruncated) return;
    const sizeBytes = frame.text.length * 2 + FRAME_OVERHEAD_BYTES;
    entry.frames.push(frame);
    entry.sizeBytes += sizeBytes;
    this.#sizeBytes += sizeBytes;
    entry.notifyWaiters();
    this.#evict();
    if (this.#sizeBytes > this.#options.maxBytes) this.#truncate(entry);
  }

  #truncate(entry: Entry): void {
    entry.isTruncated = true;
    this.#sizeBytes -= entry.sizeBytes;
    entry.sizeBytes = 0;
    entry.frames.length = 0;
    entry.notifyWaiters();
  }

  #evict(): void {
    const { maxAnswers, maxBytes } = this.#options;
    for (const [requestId, entry] of this.#entries) {
      const isOverLimit = this.#entries.size > maxAnswers ||
        this.#sizeBytes > maxBytes;
      if (!isOverLimit) return;
      if (entry.end !== undefined) this.#remove(requestId);
    }
  }

  #remove(requestId: string): void {
    const entry = this.#entries.get(requestId);
    if (entry === undefined) return;
    this.#sizeBytes -= entry.sizeBytes;
    this.#entries.delete(requestId);
    entry.notifyWaiters();
  }
}
