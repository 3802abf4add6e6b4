/**
 * Expired idempotency keys, which have left the window of retained claims. To
 * bound memory, only the latest keys are stored as text; older ones are in
 * Bloom filters, one for each generation of keys. A false positive causes a new
 * key to be refused; false negatives don't occur within the retained
 * generations. The oldest generation is evicted when there are too many.
 */
import { List, Set as PersistentSet } from "immutable";
import { z } from "zod";
import { hash32 } from "../model/mod.ts";

/** Number of keys in a generation. */
export const GENERATION_KEYS = 4096;
/** Number of generations that are retained. */
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

/** An immutable set of expired keys with a small share of false positives. */
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

  /** Creates an empty set. */
  static create(): ExpiredKeys {
    return new ExpiredKeys(PersistentSet(), List());
  }

  /** Builds a set from its JSON form. */
  static fromJson(json: ExpiredKeysJson): ExpiredKeys {
    const filters = json.filters.map((text) => Buffer.from(text, "base64"));
    return new ExpiredKeys(PersistentSet(json.newest), List(filters));
  }

  /** Returns the JSON form. */
  toJson(): ExpiredKeysJson {
    const filters = this.#filters.map((filter) =>
      Buffer.from(filter).toString("base64")
    );
    return { newest: [...this.#newest].sort(), filters: [...filters] };
  }

  /** Whether the key has expired; may be true for a new key. */
  has(key: string): boolean {
    if (this.#newest.has(key)) return true;
    if (this.#filters.size === 0) return false;
    const bits = bitsOf(key);
    for (const filter of this.#filters) {
      if (isInFilter(filter, bits)) return true;
    }
    return false;
  }

  /** Returns the set with a key added. */
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

/** Returns a key's bits by double hashing; the odd step cannot be 0. */
function bitsOf(key: string): number[] {
  const start = hash32(key);
  const step = hash32(`${key} step`) | 1;
  return Array.from(
    { length: HASH_COUNT },
    (_, index) => ((start + Math.imul(step, index)) >>> 0) % FILTER_BITS,
  );
}
