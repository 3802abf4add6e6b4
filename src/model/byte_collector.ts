/**
 * The bytes of a body that arrives in parts. Small parts are copied together, as
 * each is an object that takes far more memory than a byte.
 */

/** Parts from this size on are kept as they came. */
const KEPT_PART_BYTES = 4096;
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

/** The collected bytes. */
export class ByteCollector {
  readonly #blocks: Uint8Array[] = [];
  /** The last of the blocks, while it has room. */
  #open: Uint8Array | undefined;
  #openBytes = 0;
  #length = 0;
  #takenBytes = 0;

  /** The number of bytes that were added. */
  get length(): number {
    return this.#length;
  }

  /** The memory that they take. */
  get takenBytes(): number {
    return this.#takenBytes;
  }

  add(part: Uint8Array): void {
    const isFirst = this.#length === 0;
    this.#length += part.length;
    if (isFirst || part.length >= KEPT_PART_BYTES) {
      this.#close();
      this.#blocks.push(part);
      this.#takenBytes += part.length;
      return;
    }
    let rest = part;
    while (rest.length > 0) {
      const block = this.#open ?? this.#openBlock();
      const copied = rest.subarray(0, block.length - this.#openBytes);
      block.set(copied, this.#openBytes);
      this.#openBytes += copied.length;
      rest = rest.subarray(copied.length);
      if (this.#openBytes === block.length) this.#close();
    }
  }

  /** Returns all bytes in order. */
  concat(): Buffer {
    this.#close();
    const [only] = this.#blocks;
    if (only !== undefined && this.#blocks.length === 1) {
      return Buffer.from(only.buffer, only.byteOffset, only.length);
    }
    return Buffer.concat(this.#blocks, this.#length);
  }

  /** Begins a block as long as all before, so that little of it is left over. */
  #openBlock(): Uint8Array {
    const bytes = Math.min(
      Math.max(this.#length, MIN_BLOCK_BYTES),
      MAX_BLOCK_BYTES,
    );
    this.#open = new Uint8Array(bytes);
    this.#openBytes = 0;
    this.#takenBytes += bytes;
    return this.#open;
  }

  #close(): void {
    if (this.#open !== undefined) {
      this.#blocks.push(this.#open.subarray(0, this.#openBytes));
    }
    this.#open = undefined;
  }
}
