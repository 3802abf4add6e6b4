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

/** Values are a letter and a count; a replica of servers' entries. */
function renewedReplicaOf(changes: ReplicaChange[]): TopicReplica {
  const countOf = (value: Buffer): number => Number(value.toString().slice(1));
  return replicaOf(changes, (value, known) => countOf(value) < countOf(known));
}

test("a copy does not undo a newer value or a drop", () => {
  const changes: ReplicaChange[] = [];
  const replica = renewedReplicaOf(changes);
  const records = [recordOf("a", 7, "d5"), recordOf("b", 8, "r6")];
  replica.applyList({ records, nextOffset: 9 }, 1000);
  replica.applyRecords({ records: [recordOf("b", 9)], nextOffset: 10 }, 1000);
  replica.applyList({
    records: [recordOf("a", at(1, 1), "r4"), recordOf("b", at(1, 2), "r5")],
    nextOffset: at(1, 3),
  }, 1000);
  assert.deepEqual(changes.at(-1)?.records, []);
  replica.applyRecords({
    records: [recordOf("a", at(1, 3), "r6"), recordOf("b", at(1, 4), "r7")],
    nextOffset: at(1, 5),
  }, 1000);
  assert.deepEqual(contentsOf(changes.at(-1)?.records ?? []), [
    ["a", "r"],
    ["b", "r"],
  ]);
});

test("a value that was written after a restoration holds at once", () => {
  const changes: ReplicaChange[] = [];
  const replica = renewedReplicaOf(changes);
  replica.applyList({ records: [recordOf("a", 7, "r5")], nextOffset: 8 }, 1000);
  replica.applyList(
    { records: [recordOf("a", at(1, 3), "d9")], nextOffset: at(1, 4) },
    1000,
  );
  assert.deepEqual(contentsOf(changes.at(-1)?.records ?? []), [["a", "d"]]);
});

test("another VM that has read on brings a dropped key back", () => {
  const changes: ReplicaChange[] = [];
  const replica = renewedReplicaOf(changes);
  replica.applyList({ records: [recordOf("a", 7, "r5")], nextOffset: 8 }, 1000);
  replica.applyRecords({ records: [recordOf("a", 8)], nextOffset: 9 }, 1000);
  replica.applyUpdate({
    records: [recordOf("a", at(1, 3), "r9")],
    nextOffset: at(1, 4),
    isWhole: true,
    ageMs: 0,
  });
  assert.deepEqual(contentsOf(changes.at(-1)?.records ?? []), [["a", "r"]]);
});

// Guards against DRAIN: a VM that knew that a server had left took its entry from
// one that had started since and had it from an older copy of the store.
test("a copy that another VM passes on does not bring a dropped key back", () => {
  const changes: ReplicaChange[] = [];
  const [knowing, started] = [renewedReplicaOf(changes), renewedReplicaOf([])];
  knowing.applyList({ records: [recordOf("a", 7, "r5")], nextOffset: 8 }, 1000);
  knowing.applyRecords({ records: [recordOf("a", 9)], nextOffset: 10 }, 1000);
  const copy = [recordOf("a", at(1, 6), "r4")];
  started.applyList({ records: copy, nextOffset: at(1, 8) }, 1000);
  const tell = (): void => {
    const update = started.updateSince(knowing.nextOffset);
    assert.ok(update);
    knowing.applyUpdate(update);
  };
  tell();
  assert.equal(knowing.nextOffset, at(1, 8));
  assert.deepEqual(changes.at(-1)?.records, []);
  // The heartbeat of a server that runs after all.
  const written = [recordOf("a", at(1, 8), "r6")];
  started.applyRecords({ records: written, nextOffset: at(1, 9) }, 1000);
  tell();
  assert.deepEqual(contentsOf(changes.at(-1)?.records ?? []), [["a", "r"]]);
});
