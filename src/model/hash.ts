/**
 * A fast hash that is the same on every VM. Used to spread work and to choose
 * without coordination; never for secrets or signatures.
 */
import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

const HASH_RANGE = 2 ** 32;

/** A 32-bit hash of a text. */
export function hash32(text: string): number {
  return h32(text);
}

/** A hash of a text as a share in [0, 1). */
export function hashShare(text: string): number {
  return h32(text) / HASH_RANGE;
}

/**
 * The `count` items that rank highest for `key` (rendezvous hashing). A change
 * of the list moves only the items that came or went.
 */
export function rendezvous<Item>(
  items: readonly Item[],
  options: {
    readonly key: string;
    readonly count: number;
    readonly nameOf: (item: Item) => string;
  },
): Item[] {
  const ranked = items.map((item) => ({
    item,
    rank: h32(`${options.key} ${options.nameOf(item)}`),
  }));
  ranked.sort((a, b) => b.rank - a.rank);
  return ranked.slice(0, options.count).map((entry) => entry.item);
}
