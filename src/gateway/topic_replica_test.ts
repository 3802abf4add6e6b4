/** Tests of the mirror of a topic: order, drops, heartbeats, news, outages. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  OUTAGE_MS,
  type ReplicaChange,
  TopicReplica,
} from "./topic_replica.ts";
import { type StoreRecord } from "./store_record.ts";

interface Setup {
  readonly replica: TopicReplica;
  readonly changes: ReplicaChange[];
  readonly clock: { nowMs: number };
}

/** Values of which only the part before a colon means something. */
function setUp(): Setup {
  const changes: ReplicaChange[] = [];
  const clock = { nowMs: 1000 };
  const meaning = (value: Buffer): string =>
    value.toString().split(":")[0] ?? "";
  const replica = new TopicReplica({
    clock: () => clock.nowMs,
    isSame: (a, b) => meaning(a) === meaning(b),
    onChange: (change) => changes.push(change),
  });
  return { replica: replica, changes, clock };
}

function recordOf(
  key: string,
  offset: number,
  value: string | undefined,
): StoreRecord {
  const bytes = value === undefined ? undefined : Buffer.from(value);
  return { key, offset, value: bytes };
}

test("a record older than the one known changes nothing", () => {
  const { replica: mirror, changes } = setUp();
  mirror.applyList(
    { records: [recordOf("a", 5, "new")], nextOffset: 6 },
    1000,
  );
  mirror.applyRecords(
    { records: [recordOf("a", 3, "old")], nextOffset: 4 },
    1000,
  );
  assert.equal(changes.length, 1);
  assert.equal(mirror.nextOffset, 6);
});

test("a heartbeat is no news", () => {
  const { replica: mirror, changes } = setUp();
  mirror.applyList(
    { records: [recordOf("a", 0, "up:1")], nextOffset: 1 },
    1000,
  );
  mirror.applyRecords(
    { records: [recordOf("a", 1, "up:2")], nextOffset: 2 },
    1000,
  );
  assert.equal(changes.length, 1);
  assert.deepEqual(mirror.updateSince(1)?.records, []);
});

test("a key that a newer list lacks is dropped, and told so", () => {
  const { replica: mirror, changes } = setUp();
  const records = [recordOf("a", 0, "up"), recordOf("b", 1, "up")];
  mirror.applyList({ records, nextOffset: 2 }, 1000);
  mirror.applyList({ records: [recordOf("b", 1, "up")], nextOffset: 4 }, 1000);
  assert.deepEqual(changes.at(-1)?.records.map(({ key }) => key), ["a"]);
  assert.equal(changes.at(-1)?.records[0]?.value, undefined);
  assert.deepEqual(
    mirror.updateSince(2)?.records.map(({ key }) => key),
    ["a"],
  );
});

test("a stale list takes nothing away", () => {
  const { replica: mirror, changes } = setUp();
  mirror.applyList({ records: [recordOf("a", 7, "up")], nextOffset: 8 }, 1000);
  mirror.applyList({ records: [], nextOffset: 5 }, 1000);
  assert.equal(changes.length, 1);
  assert.equal(mirror.updateSince(undefined)?.records.length, 1);
});

test("a VM that has read nothing gets all, one that has gets what it lacks", () => {
  const { replica: mirror } = setUp();
  const records = [recordOf("a", 0, "up"), recordOf("b", 9, "up")];
  mirror.applyList({ records, nextOffset: 10 }, 1000);
  assert.equal(mirror.updateSince(undefined)?.records.length, 2);
  assert.equal(mirror.updateSince(undefined)?.isWhole, true);
  assert.deepEqual(mirror.updateSince(5)?.records.map(({ key }) => key), ["b"]);
});

test("news bring another mirror to the same state, and their age along", () => {
  const from = setUp();
  const to = setUp();
  from.replica.applyList({
    records: [recordOf("a", 0, "up"), recordOf("b", 1, "up")],
    nextOffset: 2,
  }, 1000);
  from.clock.nowMs = 1400;
  const news = from.replica.updateSince(undefined);
  assert.ok(news !== undefined);
  to.clock.nowMs = 9000;
  to.replica.applyUpdate(news);
  assert.equal(to.replica.nextOffset, 2);
  assert.equal(to.replica.ageMs, 400);
  assert.equal(to.changes[0]?.records.length, 2);
});

test("the first change after an outage says so, also without records", () => {
  const { replica: mirror, changes, clock } = setUp();
  mirror.applyList({ records: [recordOf("a", 0, "up")], nextOffset: 1 }, 1000);
  clock.nowMs += OUTAGE_MS + 1;
  mirror.applyRecords({ records: [], nextOffset: 1 }, clock.nowMs);
  assert.equal(changes.at(-1)?.isAfterOutage, true);
  mirror.applyRecords({ records: [], nextOffset: 1 }, clock.nowMs);
  assert.equal(changes.length, 2);
});
