/**
 * The one bound on what a VM keeps of what others send and have not read yet. It
 * has a share for each use, so that none starves another, and is what the
 * process's memory leaves beside the program itself; see docs/design/memory.md.
 */

/** What memory is used for. */
export type MemoryUse = "bodies" | "answers";

/** Memory of the process at rest. */
const REST_BYTES = 80 * 1024 * 1024;
/** Share of the rest, of which buffers that are not collected yet take a part. */
const SHARE_OF_FREE = 0.6;
/** Share of all memory that is used at least. */
const MIN_SHARE = 0.2;
const USE_SHARES: Readonly<Record<MemoryUse, number>> = {
  bodies: 0.4,
  answers: 0.6,
};

/** The memory of one VM. */
export class VmMemory {
  readonly #boundBytes: number;
  readonly #takenBytes: Record<MemoryUse, number> = { bodies: 0, answers: 0 };

  constructor({ memoryBytes }: { readonly memoryBytes: number }) {
    this.#boundBytes = Math.max(
      MIN_SHARE * memoryBytes,
      SHARE_OF_FREE * (memoryBytes - REST_BYTES),
    );
  }

  /** Bytes in use. */
  takenBytes(use: MemoryUse): number {
    return this.#takenBytes[use];
  }

  /** Whether further bytes are within the use's share. */
  hasRoom(use: MemoryUse, bytes: number): boolean {
    const shareBytes = USE_SHARES[use] * this.#boundBytes;
    return this.#takenBytes[use] + bytes <= shareBytes;
  }

  /** Counts bytes, also beyond the share. */
  take(use: MemoryUse, bytes: number): void {
    this.#takenBytes[use] += bytes;
  }

  /** Returns bytes that were taken. */
  release(use: MemoryUse, bytes: number): void {
    this.#takenBytes[use] -= bytes;
  }
}
