/** Which stream of the log holds the records of a claimed key. */
import { type RecordOf } from "../state/mod.ts";

/** The shard that a claim and its outcome belong to. */
export function shardKeyOf(
  claim: Pick<RecordOf<"claim">, "workspace" | "key">,
): string {
  return `${claim.workspace} ${claim.key}`;
}
