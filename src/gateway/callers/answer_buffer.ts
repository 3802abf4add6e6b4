/**
 * The bytes of one answer that is sent to its caller only when complete. It is
 * read as far as the VM has memory for it; its connection pauses meanwhile.
 */
import { type RequestMemory, SHORT_ANSWER_BYTES } from "./answer_memory.ts";

/** Largest answer. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** A server that sends so many small parts makes the VM work for nothing. */
const MAX_PARTS = 4096;

export interface AnswerBufferOptions {
  /** Stops reading the answer. */
  readonly onPause: () => void;
  readonly onResume: () => void;
}

/** The bytes of one answer. */
export class AnswerBuffer {
  readonly #memory: RequestMemory;
  readonly #options: AnswerBufferOptions;
  #chunks: Buffer[] = [];
  #whole: Buffer | undefined;
  #bytes = 0;
  #partCount = 0;
  #reservedBytes = SHORT_ANSWER_BYTES;
  #isWaiting = false;

  constructor(memory: RequestMemory, options: AnswerBufferOptions) {
    this.#memory = memory;
    this.#options = options;
  }

  /** Whether the answer waits for memory. */
  get isWaiting(): boolean {
    return this.#isWaiting;
  }

  /**
   * Reserves the length that the answer's head states, if it does; returns false
   * if it is too long to be held.
   */
  begin(statedBytes: number | undefined): boolean {
    if (statedBytes === undefined) return true;
    if (statedBytes > MAX_ANSWER_BYTES) return false;
    if (statedBytes > SHORT_ANSWER_BYTES) {
      this.#reserve(statedBytes, () => {
        // Filled as the bytes come; they need not be copied at the end.
        this.#whole = Buffer.allocUnsafeSlow(statedBytes);
      });
    }
    return true;
  }

  /** Adds a part; returns false if the answer is too long to be held. */
  push(chunk: Buffer): boolean {
    const start = this.#bytes;
    this.#bytes += chunk.length;
    this.#partCount += 1;
    if (this.#bytes > MAX_ANSWER_BYTES) return false;
    if (this.#whole !== undefined) {
      chunk.copy(this.#whole, start);
      return true;
    }
    if (this.#partCount > MAX_PARTS) return false;
    this.#chunks.push(chunk);
    if (this.#bytes > this.#reservedBytes && !this.#isWaiting) {
      this.#reserve(Math.min(2 * this.#bytes, MAX_ANSWER_BYTES));
    }
    return true;
  }

  /** Returns the whole answer, whose memory the request keeps. */
  concat(): Buffer {
    this.#memory.settle(this.#bytes);
    const whole = this.#whole?.subarray(0, this.#bytes) ??
      Buffer.concat(this.#chunks);
    this.#chunks = [];
    return whole;
  }

  /** Drops the answer. */
  release(): void {
    this.#isWaiting = false;
    this.#memory.drop();
    this.#chunks = [];
    this.#whole = undefined;
  }

  #reserve(bytes: number, onReserved: () => void = () => {}): void {
    const finish = (): void => {
      this.#reservedBytes = bytes;
      onReserved();
    };
    const isReserved = this.#memory.reserve(bytes, () => {
      this.#isWaiting = false;
      finish();
      this.#options.onResume();
    });
    if (isReserved) return finish();
    this.#isWaiting = true;
    this.#options.onPause();
  }
}
