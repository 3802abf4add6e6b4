/** Tests of a replica before a store that is restored from older copies. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { positionOf } from "./store_position.ts";
import { type ReplicaChange, TopicReplica } from "./topic_replica.ts";
import { contentsOf, recordOf, replicaOf } from "./topic_replica_fixture.ts";

const at = (era: number, offset: number): number => positionOf({ era, offset });

test("a list of a newer era replaces records of higher offsets", () => {
  const changes: ReplicaChange[] = [];
  const replica = replicaOf(changes);
  replica.applyList(
    { records: [recordOf("a", 7, "x"), recordOf("b", 8, "x")], nextOffset: 9 },
    1000,
  );
  replica.applyList(
    { records: [recordOf("a", at(1, 2), "y")], nextOffset: at(1, 3) },
    1000,
  );
  assert.equal(replica.nextOffset, at(1, 3));
  assert.equal(changes.at(-1)?.restoredFrom, 9);
  assert.deepEqual(contentsOf(changes.at(-1)?.records ?? []), [
    ["a", "y"],
    ["b", undefined],
  ]);
});

test("what comes of an older era changes nothing, not even the age", () => {
  let nowMs = 1000;
  const changes: ReplicaChange[] = [];
  const replica = new TopicReplica({
    clock: () => nowMs,
    isSame: (a, b) => a.equals(b),
    onChange: (change) => changes.push(change),
  });
  replica.applyList(
    { records: [recordOf("a", at(1, 2), "y")], nextOffset: at(1, 3) },
    1000,
  );
  nowMs = 2000;
  const old = {
    records: [recordOf("a", 7, "x"), recordOf("c", 8, "x")],
    nextOffset: 9,
  };
  replica.applyList(old, 2000);
  replica.applyRecords(old, 2000);
  replica.applyUpdate({ ...old, isWhole: true, ageMs: 0 });
  replica.applyUpdate({ ...old, isWhole: false, ageMs: 0 });
  assert.equal(changes.length, 1);
  assert.equal(replica.ageMs, 1000);
});

test("a VM of an older era gets all records", () => {
  const replica = replicaOf();
  replica.applyList({ records: [recordOf("a", 0, "x")], nextOffset: 9 }, 1000);
  replica.applyList(
    { records: [recordOf("a", at(1, 0), "x")], nextOffset: at(1, 1) },
    1000,
  );
  const update = replica.updateSince(9);
  assert.equal(update?.isWhole, true);
  assert.deepEqual(update?.records.map(({ offset }) => offset), [at(1, 0)]);
});
