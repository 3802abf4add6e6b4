/** Tests of reading a topic whose list takes several calls. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { processEffects } from "../../client/effects.ts";
import { MemoryTopic } from "./memory_topic_fixture.ts";
import { positionOf } from "./store_position.ts";
import { TopicReader } from "./topic_reader.ts";
import { type ReplicaChange, TopicReplica } from "./topic_replica.ts";

const LIMITS = { waitMs: 0, answerMs: 100 };
const READABLE = /^"server/;

interface Setup {
  readonly topic: MemoryTopic;
  readonly replica: TopicReplica;
  readonly reader: TopicReader;
  readonly changes: ReplicaChange[];
  /** The records that were put, read by now. */
  readonly keys: () => string[];
}

/** A topic whose readable values are texts that begin with `server`. */
function setUp(pauseMs = Infinity): Setup {
  const topic = new MemoryTopic();
  topic.maxRecordCount = 2;
  const changes: ReplicaChange[] = [];
  const clock = (): number => performance.now();
  const replica = new TopicReplica({
    clock,
    isSame: (a, b) => a.equals(b),
    policy: {
      valueOf: ({ value }) => READABLE.test(String(value)) ? value : undefined,
      isNeeded: () => true,
      onIgnored: () => {},
    },
    onChange: (change) => changes.push(change),
  });
  const { sleep } = processEffects;
  const reader = new TopicReader({
    source: topic,
    replica,
    pauseMs,
    clock,
    sleep,
  });
  const keys = (): string[] =>
    changes.flatMap(({ records }) => records.map(({ key }) => key));
  return { topic, replica, reader, changes, keys };
}

async function readKinds(
  reader: TopicReader,
  callCount: number,
): Promise<string[]> {
  const kinds: string[] = [];
  for (let call = 0; call < callCount; call++) {
    const read = await reader.read(LIMITS);
    kinds.push(read.match((progress) => progress, ({ kind }) => kind));
  }
  return kinds;
}

test("the records of a page are used before the next one is read", async () => {
  const { topic, reader, replica, changes, keys } = setUp();
  for (const key of ["a", "b", "c", "d", "e"]) topic.put(key, `server ${key}`);
  assert.deepEqual(await readKinds(reader, 1), ["behind"]);
  assert.deepEqual(keys(), ["a", "b"]);
  assert.equal(replica.nextOffset, undefined);
  assert.equal(replica.updateSince(undefined), undefined);
  assert.deepEqual(await readKinds(reader, 2), ["behind", "behind"]);
  assert.deepEqual(keys(), ["a", "b", "c", "d", "e"]);
  assert.deepEqual(changes.map(({ isPart }) => isPart), [true, true, false]);
  assert.equal(replica.nextOffset, 5);
});

// Guards against a VM that never ends a long list, as it begins anew after each
// call that fails.
test("a list goes on where a call failed", async () => {
  const { topic, reader, replica, keys } = setUp();
  for (const key of ["a", "b", "c", "d"]) topic.put(key, `server ${key}`);
  await readKinds(reader, 1);
  topic.isDown = true;
  assert.deepEqual(await readKinds(reader, 2), ["refused", "refused"]);
  topic.isDown = false;
  await readKinds(reader, 1);
  assert.deepEqual(keys(), ["a", "b", "c", "d"]);
  assert.equal(replica.nextOffset, 4);
});

test("a key that is dropped or written while the topic is listed is up to date in the end", async () => {
  const { topic, reader, replica } = setUp();
  for (const key of ["a", "b", "c", "d"]) topic.put(key, `server ${key}`);
  await readKinds(reader, 1);
  topic.drop("a");
  topic.put("b", "server new");
  await readKinds(reader, 2);
  const records = replica.updateSince(undefined)?.records ?? [];
  assert.deepEqual(
    records.map(({ key, value }) => [key, String(value)]).sort(),
    [["b", '"server new"'], ["c", '"server c"'], ["d", '"server d"']],
  );
});

test("a list that spans a restoration of the store begins anew", async () => {
  const { topic, reader, replica, keys } = setUp();
  for (const key of ["a", "b", "c", "d"]) topic.put(key, `server ${key}`);
  await readKinds(reader, 1);
  topic.restore(3);
  assert.deepEqual(await readKinds(reader, 1), ["deleted"]);
  assert.equal(replica.nextOffset, undefined);
  await readKinds(reader, 2);
  assert.equal(replica.nextOffset, positionOf({ era: 1, offset: 3 }));
  assert.equal(keys().includes("d"), false);
});

test("a list ends once another VM has told what it would bring", async () => {
  const { topic, reader, replica } = setUp();
  for (const key of ["a", "b", "c", "d"]) topic.put(key, `server ${key}`);
  await readKinds(reader, 1);
  const records = (await topic.list())._unsafeUnwrap().records;
  replica.applyUpdate({ records, isWhole: true, nextOffset: 4, ageMs: 0 });
  topic.put("e", "server e");
  assert.deepEqual(await readKinds(reader, 1), ["current"]);
  assert.equal(replica.nextOffset, 5);
});

// Guards against memory that grows with what other programs write.
test("records that can't be read are neither kept nor passed on", async () => {
  const { topic, reader, replica, keys } = setUp();
  topic.put("a", "server a");
  for (const key of ["b", "c", "d"]) topic.put(key, { other: "program" });
  await readKinds(reader, 2);
  topic.put("e", 17);
  topic.put("a", null);
  await readKinds(reader, 1);
  assert.deepEqual(keys(), ["a", "a"]);
  assert.deepEqual(replica.updateSince(undefined)?.records, []);
  assert.deepEqual(
    replica.updateSince(4)?.records.map(({ key, value }) => [key, value]),
    [["a", undefined]],
  );
});

// Guards against DRAIN: a part of what was written counted as all of it, and a
// pause followed, so that news came later the longer others wrote.
test("a read that leaves records behind is followed at once and proves nothing", async () => {
  const { topic, reader, replica } = setUp();
  topic.put("a", "server a");
  await readKinds(reader, 1);
  await delay(20);
  for (const key of ["b", "c", "d"]) topic.put(key, "server b");
  const ageMs = replica.ageMs;
  assert.deepEqual(await readKinds(reader, 1), ["behind"]);
  assert.ok(replica.ageMs >= ageMs, `${replica.ageMs}`);
  assert.deepEqual(await readKinds(reader, 1), ["current"]);
  assert.ok(replica.ageMs < ageMs, `${replica.ageMs}`);
});

// Guards against DRAIN: an answer that a record ended before its wait was over
// counted as up to date at its arrival, however long it had been on its way.
test("a wait that a record ends proves no more than that it was asked", async () => {
  const { topic, reader, replica } = setUp();
  topic.put("a", "server a");
  await readKinds(reader, 1);
  const waiting = reader.read({ waitMs: 2000, answerMs: 100 });
  await delay(30);
  topic.put("b", "server b");
  assert.equal((await waiting)._unsafeUnwrap(), "changed");
  assert.ok(replica.ageMs >= 30, `${replica.ageMs}`);
  const read = await reader.read({ waitMs: 30, answerMs: 100 });
  assert.equal(read._unsafeUnwrap(), "current");
  assert.ok(replica.ageMs < 30, `${replica.ageMs}`);
});

// Guards against DRAIN: a VM that lists a long topic uses what it has listed, and
// learned of no change before the list's end.
test("what follows a list's start is read while it is listed", async () => {
  const { topic, reader, replica, keys } = setUp(0);
  for (const key of ["a", "b", "c", "d", "e"]) topic.put(key, `server ${key}`);
  await readKinds(reader, 1);
  topic.put("a", "server draining");
  topic.drop("b");
  await readKinds(reader, 1);
  assert.deepEqual(keys(), ["a", "b", "a", "b"]);
  assert.equal(replica.nextOffset, undefined);
  await readKinds(reader, 3);
  assert.equal(replica.nextOffset, 7);
  const records = replica.updateSince(undefined)?.records ?? [];
  assert.deepEqual(
    records.map(({ key, value }) => [key, String(value)]).sort(),
    [
      ["a", '"server draining"'],
      ["c", '"server c"'],
      ["d", '"server d"'],
      ["e", '"server e"'],
    ],
  );
});

// Guards against a VM that never catches up with what is written faster than it
// reads.
test("a topic is listed if that is shorter than what is left to be read", async () => {
  const { topic, reader, replica } = setUp();
  topic.put("a", "server a");
  await readKinds(reader, 1);
  const text = "x".repeat(200_000);
  for (let count = 0; count < 100; count++) topic.put("b", text);
  topic.put("a", "server new");
  assert.deepEqual(await readKinds(reader, 2), ["behind", "current"]);
  assert.equal(replica.nextOffset, 102);
  const [record] = replica.updateSince(undefined)?.records ?? [];
  assert.equal(String(record?.value), '"server new"');
});
