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
    let rest = this.#fill(part);
    if (isFirst || rest.length >= KEPT_PART_BYTES) {
      this.#blocks.push(rest);
      this.#takenBytes += part.length;
      return;
    }
    while (rest.length > 0) {
      this.#openBlock();
      rest = this.#fill(rest);
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
  #openBlock(): void {
    const bytes = Math.min(
      Math.max(this.#length, MIN_BLOCK_BYTES),
      MAX_BLOCK_BYTES,
    );
    this.#open = new Uint8Array(bytes);
    this.#openBytes = 0;
    this.#takenBytes += bytes;
  }

  /** Copies what fits into the open block; returns the rest. */
  #fill(part: Uint8Array): Uint8Array {
    const block = this.#open;
    if (block === undefined) return part;
    const copied = part.subarray(0, block.length - this.#openBytes);
    block.set(copied, this.#openBytes);
    this.#openBytes += copied.length;
    if (this.#openBytes === block.length) this.#close();
    return part.subarray(copied.length);
  }

  #close(): void {
    if (this.#open !== undefined) {
      this.#blocks.push(this.#open.subarray(0, this.#openBytes));
    }
    this.#open = undefined;
  }
}
