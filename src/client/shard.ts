/** Mapping of shard keys to shards; it must not change between releases. */
import { hash32 } from "../model/mod.ts";

/** Returns the index of a key's shard. */
export function shardOf(key: string, shardCount: number): number {
  return hash32(key) % shardCount;
}
