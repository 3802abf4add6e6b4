/**
 * The idempotency keys that have left the window, in bounded memory: the newest
 * by name, the rest as Bloom filters of one generation each. A filter may take
 * a fresh key for an old one, which refuses it; it never takes an old key for
 * a fresh one. The oldest generation is dropped when there are too many.
 */
import { List, Set as PersistentSet } from "immutable";
import { z } from "zod";
import { hash32 } from "../model/mod.ts";

/** Keys in one generation. */
export const GENERATION_KEYS = 4096;
/** Generations that are kept. */
export const MAX_GENERATIONS = 32;

const BITS_PER_KEY = 24;
const HASH_COUNT = 16;
const BITS_PER_BYTE = 8;
const FILTER_BYTES = GENERATION_KEYS * BITS_PER_KEY / BITS_PER_BYTE;
const FILTER_BITS = FILTER_BYTES * BITS_PER_BYTE;

/** Codec of the JSON form of {@link ExpiredKeys}. */
export const expiredKeysSchema = z.strictObject({
  newest: z.array(z.string()).max(GENERATION_KEYS),
  filters: z.array(z.string()).max(MAX_GENERATIONS),
});

/** The JSON form of {@link ExpiredKeys}. */
export type ExpiredKeysJson = z.infer<typeof expiredKeysSchema>;

/** An immutable set of keys that have left the window. */
export class ExpiredKeys {
  readonly #newest: PersistentSet<string>;
  readonly #filters: List<Uint8Array>;

  private constructor(
    newest: PersistentSet<string>,
    filters: List<Uint8Array>,
  ) {
    this.#newest = newest;
    this.#filters = filters;
  }

  /** No key. */
  static create(): ExpiredKeys {
    return new ExpiredKeys(PersistentSet(), List());
  }

  /** Reads the JSON form. */
  static fromJson(json: ExpiredKeysJson): ExpiredKeys {
    const filters = json.filters.map((text) => Buffer.from(text, "base64"));
    return new ExpiredKeys(PersistentSet(json.newest), List(filters));
  }

  /** The JSON form. */
  toJson(): ExpiredKeysJson {
    const filters = this.#filters.map((filter) =>
      Buffer.from(filter).toString("base64")
    );
    return { newest: [...this.#newest].sort(), filters: [...filters] };
  }

  /** Whether the key has left the window. */
  has(key: string): boolean {
    if (this.#newest.has(key)) return true;
    if (this.#filters.size === 0) return false;
    const bits = bitsOf(key);
    for (const filter of this.#filters) {
      if (isInFilter(filter, bits)) return true;
    }
    return false;
  }

  /** The set with one more key. */
  add(key: string): ExpiredKeys {
    const newest = this.#newest.add(key);
    if (newest.size < GENERATION_KEYS) {
      return new ExpiredKeys(newest, this.#filters);
    }
    const filters = this.#filters.push(filterOf(newest));
    return new ExpiredKeys(PersistentSet(), filters.takeLast(MAX_GENERATIONS));
  }
}

function filterOf(keys: Iterable<string>): Uint8Array {
  const filter = new Uint8Array(FILTER_BYTES);
  for (const key of keys) {
    for (const bit of bitsOf(key)) {
      const byte = Math.floor(bit / BITS_PER_BYTE);
      filter[byte] = (filter[byte] ?? 0) | (1 << (bit % BITS_PER_BYTE));
    }
  }
  return filter;
}

function isInFilter(filter: Uint8Array, bits: readonly number[]): boolean {
  for (const bit of bits) {
    const byte = filter[Math.floor(bit / BITS_PER_BYTE)] ?? 0;
    if ((byte & (1 << (bit % BITS_PER_BYTE))) === 0) return false;
  }
  return true;
}

/** Bits of a key by double hashing; the step is odd, so never 0. */
function bitsOf(key: string): number[] {
  const start = hash32(key);
  const step = hash32(`${key} step`) | 1;
  return Array.from(
    { length: HASH_COUNT },
    (_, index) => ((start + Math.imul(step, index)) >>> 0) % FILTER_BITS,
  );
}
