/** Replicas and records for tests, whose values decode to their first letter. */
import { type StoreRecord } from "./store_record.ts";
import {
  type IsOlder,
  type ReplicaChange,
  TopicReplica,
} from "./topic_replica.ts";

/** Values of the same letter decode to the same; the rest is a heartbeat. */
const contentOf = (value: Buffer | undefined): string | undefined =>
  value?.toString().slice(0, 1);

/** A replica that records its changes. */
export function replicaOf(
  changes: ReplicaChange[] = [],
  isOlder?: IsOlder,
): TopicReplica {
  return new TopicReplica({
    clock: () => 1000,
    isSame: (a, b) => contentOf(a) === contentOf(b),
    ...isOlder === undefined ? {} : { isOlder },
    onChange: (change) => changes.push(change),
  });
}

/** A record; without a text, the drop of its key. */
export function recordOf(
  key: string,
  position: number,
  text?: string,
): StoreRecord {
  const value = text === undefined ? undefined : Buffer.from(text);
  return { key, value, offset: position };
}

/** The keys of records, in order, each with what its value decodes to. */
export function contentsOf(
  records: readonly StoreRecord[],
): [string, unknown][] {
  return records.map(({ key, value }): [string, unknown] => [
    key,
    contentOf(value),
  ]).sort(([a], [b]) => a < b ? -1 : 1);
}
