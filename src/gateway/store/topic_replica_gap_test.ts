/**
 * Test of replicas of which one at a time reads the store, while records are
 * lost to it, VMs start again and readers change: in the end every replica has
 * what the store has, whoever told it.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type StoreRecord, type StoreRecords } from "./store_record.ts";
import {
  type ReplicaChange,
  type TopicReplica,
  type TopicUpdate,
} from "./topic_replica.ts";
import { contentsOf, recordOf, replicaOf } from "./topic_replica_fixture.ts";

const SEED = 45;
const RUN_COUNT = 3000;
const VM_COUNT = 3;
const KEYS = ["a", "b", "c"] as const;

/** A log whose oldest records may be gone; lists have all newest values. */
class Store {
  log: StoreRecord[] = [];
  #firstOffset = 0;

  put(key: string, text?: string): void {
    this.log.push(recordOf(key, this.log.length, text));
  }

  trim(): void {
    this.#firstOffset = this.log.length;
  }

  list(): StoreRecords {
    const newest = new Map<string, StoreRecord>();
    for (const record of this.log) newest.set(record.key, record);
    const records = [...newest.values()]
      .filter(({ value }) => value !== undefined);
    return { records, nextOffset: this.log.length };
  }

  /** Reads on as a follower does, which lists what it can't read. */
  feed(replica: TopicReplica): void {
    const from = replica.nextOffset;
    if (from === undefined || from < this.#firstOffset) {
      return replica.applyList(this.list(), 1000);
    }
    const records = this.log.slice(from);
    replica.applyRecords({ records, nextOffset: this.log.length }, 1000);
  }
}

const vm = fc.nat(VM_COUNT - 1);
const step = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("put" as const),
      key: fc.constantFrom(...KEYS),
      // Values of one letter are the same but for a heartbeat.
      text: fc.constantFrom("x1", "x2", "y1", undefined),
    }),
  },
  fc.record({ kind: fc.constant("trim" as const) }),
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("read" as const), vm }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("tell" as const), vm, to: vm }),
  },
  fc.record({ kind: fc.constant("restart" as const), vm }),
  fc.record({ kind: fc.constant("deliver" as const), index: fc.nat(9) }),
);

/** Fails where a change is from before an earlier one of its key. */
function assertForward(changes: readonly ReplicaChange[]): void {
  const offsets = new Map<string, number>();
  for (const { key, offset } of changes.flatMap(({ records }) => records)) {
    assert.ok(offset > (offsets.get(key) ?? -1), `${key} went back`);
    offsets.set(key, offset);
  }
}

// Guards against DRAIN: removals that a VM did not see itself, and jumped over in
// an update of a VM that had not seen them either; and older news, by which a
// server that has left came back.
test("every VM has the store's records, whichever VM told it, after gaps and restarts", () => {
  fc.assert(
    fc.property(
      fc.array(step, { maxLength: 40, size: "max" }),
      vm,
      (steps, lastReader) => {
        const store = new Store();
        const histories: ReplicaChange[][] = [];
        const start = (): TopicReplica => {
          const changes: ReplicaChange[] = [];
          histories.push(changes);
          return replicaOf(changes);
        };
        const replicas = Array.from({ length: VM_COUNT }, start);
        const at = (index: number): TopicReplica =>
          replicas[index] ?? replicaOf();
        const late: { readonly to: number; readonly update: TopicUpdate }[] =
          [];
        const tell = (from: number, to: number): void => {
          const update = at(from).updateSince(at(to).nextOffset);
          if (update === undefined) return;
          late.push({ to, update });
          at(to).applyUpdate(update);
        };
        for (const one of steps) {
          if (one.kind === "put") store.put(one.key, one.text);
          if (one.kind === "trim") store.trim();
          if (one.kind === "read") store.feed(at(one.vm));
          if (one.kind === "tell") tell(one.vm, one.to);
          if (one.kind === "restart") replicas[one.vm] = start();
          if (one.kind === "deliver") {
            const { to, update } = late[one.index] ?? {};
            if (update !== undefined) at(to ?? 0).applyUpdate(update);
          }
        }
        store.feed(at(lastReader));
        const expected = contentsOf(store.list().records);
        for (let to = 0; to < VM_COUNT; to++) {
          tell(lastReader, to);
          const { records = [] } = at(to).updateSince(undefined) ?? {};
          assert.deepEqual(contentsOf(records), expected);
        }
        for (const changes of histories) assertForward(changes);
      },
    ),
    { seed: SEED, numRuns: RUN_COUNT },
  );
});
