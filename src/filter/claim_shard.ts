/** The shard of the log that holds the records of a claimed key. */
import { type RecordOf } from "../state/mod.ts";

/** Returns the shard key of a claim and its outcome. */
export function shardKeyOf(
  claim: Pick<RecordOf<"claim">, "workspace" | "key">,
): string {
  return `${claim.workspace} ${claim.key}`;
}
