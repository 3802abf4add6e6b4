/** Tests of orders that are read again after the store was restored. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type RolloutOrder } from "../../model/mod.ts";
import { relateOrder } from "./rollout_order.ts";
import { RolloutRecord } from "./rollout_record.ts";
import { positionOf } from "../store/store_position.ts";

const at = (era: number, offset: number): number => positionOf({ era, offset });

function orderOf(target: string, position: number): RolloutOrder {
  return { service: "one", target, durationMs: 24_000, offset: position };
}

function recordOf(order: RolloutOrder): RolloutRecord {
  const isStageKnown = true;
  return new RolloutRecord(order, {
    canaryShare: 0.15,
    startedAtMs: 0,
    isStageKnown,
  });
}

const current = recordOf(orderOf("v3", 8));
const earlier = [orderOf("v2", 4)];

test("an order in an older position changes nothing", () => {
  const known = { current, earlier };
  assert.equal(relateOrder(orderOf("v4", 8), known), "old");
  assert.equal(relateOrder(orderOf("v4", 3), known), "old");
  assert.equal(relateOrder(orderOf("v4", 9), known), "new");
});

test("an order of the same content in a newer era is the one in force", () => {
  const known = { current, earlier };
  assert.equal(relateOrder(orderOf("v3", at(1, 8)), known), "again");
  assert.equal(relateOrder(orderOf("v3", at(1, 2)), known), "again");
  assert.equal(relateOrder(orderOf("v3", at(3, 9)), known), "again");
  assert.equal(relateOrder(orderOf("v4", at(1, 2)), known), "new");
});

test("a copy from before the order in force does not bring back an earlier one", () => {
  const known = { current, earlier };
  assert.equal(relateOrder(orderOf("v2", at(1, 4)), known), "old");
  // At another offset it was ordered after the restoration.
  assert.equal(relateOrder(orderOf("v2", at(1, 5)), known), "new");
  assert.equal(relateOrder(orderOf("v2", 9), known), "new");
});

test("an order that the copy has may be written again once", () => {
  const record = recordOf(orderOf("v3", 8));
  record.stage = "completed";
  record.moveTo(at(1, 8));
  assert.equal(record.isStatusLost, true);
  const known = { current: record, earlier };
  assert.equal(relateOrder(orderOf("v3", at(1, 9)), known), "again");
  record.moveTo(at(1, 9));
  assert.equal(relateOrder(orderOf("v3", at(1, 10)), known), "new");
  assert.equal(relateOrder(orderOf("v4", at(1, 10)), known), "new");
  // Of the next copy as well, whichever offset it has by now.
  assert.equal(relateOrder(orderOf("v3", at(2, 9)), known), "again");
});

// Guards against services without an allowed version: VMs that know an order
// that was reverted and VMs that start later followed different ones.
test("a version that is ordered again is a new roll-out on every VM", () => {
  const known = { current, earlier };
  assert.equal(relateOrder(orderOf("v3", 9), known), "new");
  fc.assert(fc.property(
    fc.array(fc.constantFrom("v2", "v3"), { minLength: 1, maxLength: 12 }),
    fc.array(fc.nat(11), { maxLength: 4 }),
    (targets, startIndices) => {
      const orders = targets.map((target, index) => orderOf(target, index));
      const newest = orders.at(-1);
      for (const start of [0, ...startIndices]) {
        let known = orders[Math.min(start, orders.length - 1)];
        for (const order of orders.slice(start + 1)) {
          if (known === undefined) break;
          const relation = relateOrder(order, {
            current: recordOf(known),
            earlier: [],
          });
          if (relation === "new") known = order;
        }
        assert.equal(known?.offset, newest?.offset);
      }
    },
  ));
});
