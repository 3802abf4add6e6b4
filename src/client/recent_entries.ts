/**
 * Buffer of a stream's newest entries, for peers that are slightly behind.
 * Payloads are passed on undecoded, so that a peer of another release applies
 * its own codec.
 */
import { type RawEntry } from "../state/mod.ts";

const MAX_ENTRIES = 2000;
const MAX_CHARS = 4 * 1024 * 1024;

/** A bounded sequence of entries with consecutive offsets. */
export class RecentEntries {
  #entries: RawEntry[] = [];
  #start = 0;
  #sizeChars = 0;

  /** Adds an entry. If it does not directly follow, clears the buffer first. */
  push(entry: RawEntry): void {
    const last = this.#entries.at(-1);
    if (last !== undefined && entry.offset !== last.offset + 1) this.#clear();
    this.#entries.push(entry);
    this.#sizeChars += entry.payload.length;
    while (this.#exceedsBounds()) this.#dropOldest();
    if (this.#start > MAX_ENTRIES) this.#compact();
  }

  /** Entries from an offset on, or undefined if it is no longer buffered. */
  from(offset: number, limit: number): RawEntry[] | undefined {
    const oldest = this.#entries[this.#start];
    if (oldest === undefined || offset < oldest.offset) return undefined;
    const index = this.#start + offset - oldest.offset;
    return this.#entries.slice(index, index + limit);
  }

  #exceedsBounds(): boolean {
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
