/** Tests of the bounds of retained records. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { encodedBytesOf } from "../peers/peer_update.ts";
import { MAX_FRAME_BYTES } from "../../wire/mod.ts";
import { RetainedRecords } from "./retained_records.ts";
import { type StoreRecord } from "./store_record.ts";

interface Setup {
  readonly records: RetainedRecords;
  readonly needed: Set<string>;
  /** Puts as many records and returns how many had room. */
  readonly fill: (name: string, count: number, bytes: number) => number;
}

function setUp(): Setup {
  const needed = new Set(["server"]);
  const records = new RetainedRecords({
    valueOf: ({ value }) => value,
    isNeeded: ({ key }) => needed.has(key.split(" ")[0] ?? ""),
    onIgnored: () => {},
  });
  const fill: Setup["fill"] = (name, count, bytes) => {
    let retainedCount = 0;
    for (let index = 0; index < count; index++) {
      const record = recordOf(`${name} ${index}`, index, bytes);
      if (records.put(record)) retainedCount += 1;
    }
    return retainedCount;
  };
  return { records, needed, fill };
}

function recordOf(key: string, offset: number, bytes?: number): StoreRecord {
  const value = bytes === undefined ? undefined : Buffer.alloc(bytes, 1);
  return { key, value, offset };
}

// Guards against Fault, and against servers that have no room beside entries of
// other programs.
test("records that nothing refers to are bounded and take no room of the others", () => {
  for (const [count, bytes] of [[50_000, 20], [400, 250_000]] as const) {
    const { fill } = setUp();
    assert.ok(fill("other", count, bytes) <= 1000);
    assert.equal(fill("server", 4800, 500), 4800);
  }
});

test("all that is retained fits into one frame of a peer", () => {
  for (const bytes of [1, 200, 2000]) {
    const { records, fill } = setUp();
    fill("server", 20_000, bytes);
    fill("other", 20_000, bytes);
    const update = {
      records: [...records],
      isWhole: true,
      nextOffset: 20_000,
      ageMs: 0,
    };
    assert.ok(encodedBytesOf(update) < 0.9 * MAX_FRAME_BYTES);
  }
});

test("a record of a known key is replaced where there is room for no other", () => {
  const { records, fill } = setUp();
  fill("server", 20_000, 20);
  assert.equal(records.put(recordOf("server x", 1, 20)), false);
  assert.equal(records.put(recordOf("server 5", 30_000, 20)), true);
  assert.equal(records.get("server 5")?.offset, 30_000);
  records.put(recordOf("server 5", 30_001));
  assert.equal(records.put(recordOf("server x", 30_002, 20)), true);
});

test("what is no longer referred to is evicted beyond its bound, and makes room", () => {
  const { records, needed, fill } = setUp();
  needed.add("early");
  fill("early", 20_000, 20);
  assert.equal(fill("server", 1, 20), 0);
  needed.delete("early");
  const evicted = records.evictUnneeded();
  assert.equal(evicted.length + [...records].length, 8000);
  assert.ok([...records].length <= 1000);
  assert.equal(fill("server", 4800, 100), 4800);
});

test("the oldest drops are evicted, up to the last one's offset", () => {
  const { records } = setUp();
  records.put(recordOf("server 1", 0, 20));
  for (let index = 1; index <= 503; index++) {
    records.put(recordOf(`server ${index}`, index));
  }
  assert.equal(records.evictDropped(), 3);
  assert.equal(records.evictDropped(), undefined);
  assert.equal([...records].length, 500);
});
