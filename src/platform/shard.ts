/** Maps shard keys to shards, alike in every process and release. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The shard of a key, by the FNV-1a hash of its UTF-16 code units. */
export function shardOf(key: string, shardCount: number): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < key.length; index += 1) {
    hash = Math.imul(hash ^ key.charCodeAt(index), FNV_PRIME);
  }
  return (hash >>> 0) % shardCount;
}
