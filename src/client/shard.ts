/** Maps shard keys to shards, alike in every process and release. */
import { hash32 } from "../model/mod.ts";

/** The shard of a key. */
export function shardOf(key: string, shardCount: number): number {
  return hash32(key) % shardCount;
}
