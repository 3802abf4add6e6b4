/**
 * The newest entries of a stream as read, for peers that are a little behind.
 * Payloads are kept undecoded: a peer of another release decodes for itself.
 */
import { type RawEntry } from "../state/mod.ts";

const MAX_ENTRIES = 2000;
const MAX_CHARS = 4 * 1024 * 1024;

/** A bounded run of entries without gaps. */
export class RecentEntries {
  #entries: RawEntry[] = [];
  #start = 0;
  #sizeChars = 0;

  /** Adds the entry that follows; an entry after a gap starts the run anew. */
  push(entry: RawEntry): void {
    const last = this.#entries.at(-1);
    if (last !== undefined && entry.offset !== last.offset + 1) this.#clear();
    this.#entries.push(entry);
    this.#sizeChars += entry.payload.length;
    while (this.#isOverBound()) this.#dropOldest();
    if (this.#start > MAX_ENTRIES) this.#compact();
  }

  /** Entries from an offset on; undefined when the run starts later. */
  from(offset: number, limit: number): RawEntry[] | undefined {
    const oldest = this.#entries[this.#start];
    if (oldest === undefined || offset < oldest.offset) return undefined;
    const index = this.#start + offset - oldest.offset;
    return this.#entries.slice(index, index + limit);
  }

  #isOverBound(): boolean {
    const count = this.#entries.length - this.#start;
    return count > MAX_ENTRIES || (count > 1 && this.#sizeChars > MAX_CHARS);
  }

  #dropOldest(): void {
    this.#sizeChars -= this.#entries[this.#start]?.payload.length ?? 0;
    this.#start += 1;
  }

  #compact(): void {
    this.#entries = this.#entries.slice(this.#start);
    this.#start = 0;
  }

  #clear(): void {
    this.#entries = [];
    this.#start = 0;
    this.#sizeChars = 0;
  }
}
