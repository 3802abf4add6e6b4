/**
 * A fast non-cryptographic hash with the same result on every VM: FNV-1a over
 * UTF-16 code units, then the finaliser of MurmurHash3. VMs use it to balance
 * work and to make the same choice without coordination. It is not suitable for
 * secrets or signatures.
 */
const HASH_RANGE = 2 ** 32;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX = [0x85ebca6b, 0xc2b2ae35] as const;

/** Returns an unsigned 32-bit hash. */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX[0]);
  hash = Math.imul(hash ^ (hash >>> 13), MIX[1]);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Returns a hash scaled to [0, 1). */
export function hashShare(text: string): number {
  return hash32(text) / HASH_RANGE;
}

/**
 * Returns the `count` items that rank highest for `key` (rendezvous hashing).
 * Adding or removing an item doesn't change how the others rank.
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
