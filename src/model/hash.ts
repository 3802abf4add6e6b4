/**
 * A fast hash that is the same on every VM. Used to spread work and to choose
 * without coordination; never for secrets or signatures.
 */
const HASH_RANGE = 2 ** 32;
/** FNV-1a over UTF-16 code units, mixed by the finaliser of MurmurHash3. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX = [0x85ebca6b, 0xc2b2ae35] as const;

/** A 32-bit hash of a text. */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX[0]);
  hash = Math.imul(hash ^ (hash >>> 13), MIX[1]);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** A hash of a text as a share in [0, 1). */
export function hashShare(text: string): number {
  return hash32(text) / HASH_RANGE;
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
    rank: hash32(`${options.key} ${options.nameOf(item)}`),
  }));
  ranked.sort((a, b) => b.rank - a.rank);
  return ranked.slice(0, options.count).map((entry) => entry.item);
}
