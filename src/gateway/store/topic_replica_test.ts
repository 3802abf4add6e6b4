/** Tests of a topic's replica: order, drops, heartbeats, updates, outages. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  OUTAGE_MS,
  type ReplicaChange,
  TopicReplica,
} from "./topic_replica.ts";
import { positionOf } from "./store_position.ts";
import { type StoreRecord } from "./store_record.ts";

interface Setup {
  readonly replica: TopicReplica;
  readonly changes: ReplicaChange[];
  readonly clock: { nowMs: number };
}

/** Compares values by the part before the colon; the rest is a heartbeat. */
function setUp(): Setup {
  const changes: ReplicaChange[] = [];
  const clock = { nowMs: 1000 };
  const contentOf = (value: Buffer): string =>
    value.toString().split(":")[0] ?? "";
  const replica = new TopicReplica({
    clock: () => clock.nowMs,
    isSame: (a, b) => contentOf(a) === contentOf(b),
    onChange: (change) => changes.push(change),
  });
  return { replica, changes, clock };
}

function recordOf(
  key: string,
  offset: number,
  value: string | undefined,
): StoreRecord {
  const bytes = value === undefined ? undefined : Buffer.from(value);
  return { key, offset, value: bytes };
}

test("a record older than the replica's changes nothing", () => {
  const { replica, changes } = setUp();
  replica.applyList(
    { records: [recordOf("a", 5, "new")], nextOffset: 6 },
    1000,
  );
  replica.applyRecords(
    { records: [recordOf("a", 3, "old")], nextOffset: 4 },
    1000,
  );
  assert.equal(changes.length, 1);
  assert.equal(replica.nextOffset, 6);
});

test("a heartbeat is not sent to other VMs", () => {
  const { replica, changes } = setUp();
  replica.applyList(
    { records: [recordOf("a", 0, "up:1")], nextOffset: 1 },
    1000,
  );
  replica.applyRecords(
    { records: [recordOf("a", 1, "up:2")], nextOffset: 2 },
    1000,
  );
  assert.equal(changes.length, 1);
  assert.deepEqual(replica.updateSince(1)?.records, []);
});

test("a key that a newer list lacks is dropped, also by who gets its update", () => {
  const { replica, changes } = setUp();
  const other = setUp();
  const records = [recordOf("a", 0, "up"), recordOf("b", 1, "up")];
  replica.applyList({ records, nextOffset: 2 }, 1000);
  other.replica.applyList({ records, nextOffset: 2 }, 1000);
  replica.applyList({ records: [recordOf("b", 1, "up")], nextOffset: 4 }, 1000);
  assert.deepEqual(changes.at(-1)?.records.map(({ key }) => key), ["a"]);
  assert.equal(changes.at(-1)?.records[0]?.value, undefined);
  const update = replica.updateSince(2);
  assert.ok(update !== undefined);
  other.replica.applyUpdate(update);
  assert.deepEqual(other.changes.at(-1)?.records.map(({ key }) => key), ["a"]);
  assert.equal(other.changes.at(-1)?.records[0]?.value, undefined);
});

test("a stale list drops no keys", () => {
  const { replica, changes } = setUp();
  replica.applyList({ records: [recordOf("a", 7, "up")], nextOffset: 8 }, 1000);
  replica.applyList({ records: [], nextOffset: 5 }, 1000);
  assert.equal(changes.length, 1);
  assert.equal(replica.updateSince(undefined)?.records.length, 1);
});

test("a late list does not bring back a key that was dropped since", () => {
  const { replica } = setUp();
  replica.applyList({ records: [], nextOffset: 8 }, 1000);
  replica.applyList({ records: [recordOf("a", 3, "up")], nextOffset: 5 }, 1000);
  assert.deepEqual(replica.updateSince(undefined)?.records, []);
});

test("an update holds all records, or those from the receiver's offset on", () => {
  const { replica } = setUp();
  replica.applyList({ records: [recordOf("a", 0, "up")], nextOffset: 5 }, 1000);
  const records = [recordOf("b", 9, "up")];
  replica.applyRecords({ records, nextOffset: 10 }, 1000);
  assert.equal(replica.updateSince(undefined)?.records.length, 2);
  assert.equal(replica.updateSince(undefined)?.isWhole, true);
  assert.deepEqual(replica.updateSince(5)?.records.map(({ key }) => key), [
    "b",
  ]);
  assert.equal(replica.updateSince(5)?.isWhole, false);
  // What was dropped before the list isn't known.
  assert.equal(replica.updateSince(4)?.isWhole, true);
});

// Guards against DRAIN: changes that were meant for the process before this one.
test("changes apply only to a replica that has what came before them", () => {
  const from = setUp();
  from.replica.applyList({ records: [], nextOffset: 3 }, 1000);
  const records = [recordOf("a", 3, "up"), recordOf("b", 6, "up")];
  from.replica.applyRecords({ records, nextOffset: 7 }, 1000);
  const update = from.replica.updateSince(5);
  assert.ok(update?.isWhole === false);
  const { replica } = setUp();
  replica.applyList({ records: [], nextOffset: 3 }, 1000);
  replica.applyUpdate(update);
  assert.equal(replica.nextOffset, 3);
});

test("an update brings another replica to the same state and age", () => {
  const from = setUp();
  const to = setUp();
  from.replica.applyList({
    records: [recordOf("a", 0, "up"), recordOf("b", 1, "up")],
    nextOffset: 2,
  }, 1000);
  from.clock.nowMs = 1400;
  const update = from.replica.updateSince(undefined);
  assert.ok(update !== undefined);
  to.clock.nowMs = 9000;
  to.replica.applyUpdate(update);
  assert.equal(to.replica.nextOffset, 2);
  assert.equal(to.replica.ageMs, 400);
  assert.equal(to.changes[0]?.records.length, 2);
});

// Guards against DRAIN: VMs that fall behind count as up to date, so that nothing
// else is tried, and other VMs take their news for the newest.
test("a replica is as old as the newest end that it has reached", () => {
  const { replica, clock } = setUp();
  replica.applyList({ records: [], nextOffset: 0 }, 1000);
  clock.nowMs = 5000;
  const ages: number[] = [];
  const reads = [[2, 4, 2000], [4, 8, 3000], [6, 9, 4000], [9, 9, 4500]];
  for (const [nextOffset = 0, endOffset = 0, atMs = 0] of reads) {
    replica.applyRecords({ records: [], nextOffset, endOffset }, atMs);
    ages.push(replica.ageMs);
  }
  assert.deepEqual(ages, [4000, 3000, 3000, 500]);
});

// Guards against DRAIN: a VM that was held up for seconds took what had waited for
// it for news.
test("an update that was on its way for any time brings records and no new age", () => {
  const [from, to] = [setUp(), setUp()];
  for (const { replica } of [from, to]) {
    replica.applyList({ records: [], nextOffset: 0 }, 1000);
  }
  const records = [recordOf("a", 0, "up")];
  from.replica.applyRecords({ records, nextOffset: 1 }, 1000);
  const update = from.replica.updateSince(0);
  assert.ok(update !== undefined);
  to.clock.nowMs = 9000;
  to.replica.applyUpdate(update, -Infinity);
  assert.equal(to.replica.nextOffset, 1);
  assert.equal(to.replica.ageMs, 8000);
  to.replica.applyUpdate(update, 8500);
  assert.equal(to.replica.ageMs, 500);
});

test("the first change after an outage is marked, even without records", () => {
  const { replica, changes, clock } = setUp();
  replica.applyList({ records: [recordOf("a", 0, "up")], nextOffset: 1 }, 1000);
  clock.nowMs += OUTAGE_MS + 1;
  replica.applyRecords({ records: [], nextOffset: 1 }, clock.nowMs);
  assert.equal(changes.at(-1)?.isAfterOutage, true);
  replica.applyRecords({ records: [], nextOffset: 1 }, clock.nowMs);
  assert.equal(changes.length, 2);
});

// Guards against a VM that starts after the end of an order and takes an older
// update of another VM for an order in force.
test("the drop of a kept key is reported by a replica that never had it", () => {
  const changes: ReplicaChange[] = [];
  const replica = new TopicReplica({
    clock: () => 1000,
    isSame: () => false,
    keepsMissing: (key) => key === "kept",
    onChange: (change) => changes.push(change),
  });
  const keys = ["kept", "other"];
  const records = keys.map((key, offset) => recordOf(key, offset, undefined));
  replica.applyList({ records, nextOffset: 2 }, 1000);
  assert.deepEqual(changes[0]?.records.map(({ key }) => key), ["kept"]);
});

// Guards against an order that ends because the store forgot it.
test("a key that is kept outlasts lists without it until its drop is read", () => {
  const changes: ReplicaChange[] = [];
  const replica = new TopicReplica({
    clock: () => 1000,
    isSame: () => false,
    keepsMissing: (key) => key === "kept",
    onChange: (change) => changes.push(change),
  });
  const records = [recordOf("kept", 0, "x"), recordOf("other", 1, "x")];
  replica.applyList({ records, nextOffset: 2 }, 1000);
  replica.applyList({ records: [], nextOffset: 5 }, 1000);
  const nextEra = positionOf({ era: 1, offset: 3 });
  replica.applyList({ records: [], nextOffset: nextEra }, 1000);
  assert.deepEqual(
    changes.map((change) => change.records.map(({ key }) => key)),
    [["kept", "other"], ["other"], []],
  );
  assert.equal(replica.updateSince(undefined)?.records[0]?.key, "kept");
  replica.applyRecords({
    records: [recordOf("kept", nextEra, undefined)],
    nextOffset: nextEra + 1,
  }, 1000);
  const [drop] = changes.at(-1)?.records ?? [];
  assert.deepEqual([drop?.key, drop?.value], ["kept", undefined]);
  assert.deepEqual(
    changes.map(({ isFirstInEra }) => isFirstInEra),
    [true, false, true, false],
  );
});
