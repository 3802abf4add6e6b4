/** Tests of the reach of a VM's connections to backend servers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  applyReach,
  FULL_REACH,
  type ReachEvent,
  type ServerReach,
} from "./server_reach.ts";

const REACHED: ReachEvent = { kind: "reached" };

function unreached(serverId: string, serverCount = 11): ReachEvent {
  return { kind: "unreached", serverId, serverCount };
}

function run(...events: readonly ReachEvent[]): ServerReach {
  let reach = FULL_REACH;
  for (const [nowMs, event] of events.entries()) {
    reach = applyReach(reach, event, nowMs);
  }
  return reach;
}

test("a VM is cut off after three servers in a row", () => {
  const two = run(unreached("a"), unreached("b"));
  assert.equal(two.cutOffSinceMs, undefined);
  const three = run(unreached("a"), unreached("b"), unreached("c"));
  assert.equal(three.cutOffSinceMs, 2);
  const longer = applyReach(three, unreached("d"), 9);
  assert.equal(longer.cutOffSinceMs, 2);
});

test("one server that fails again and again cuts no VM off", () => {
  const reach = run(unreached("a"), unreached("a"), unreached("a"));
  assert.equal(reach.cutOffSinceMs, undefined);
});

test("a server that is reached ends it", () => {
  const between = run(unreached("a"), unreached("b"), REACHED, unreached("c"));
  assert.equal(between.cutOffSinceMs, undefined);
  const after = run(unreached("a"), unreached("b"), unreached("c"), REACHED);
  assert.deepEqual(after, FULL_REACH);
});

test("a VM that knows fewer servers is cut off when none is reached", () => {
  const reach = run(unreached("a", 2), unreached("b", 2));
  assert.equal(reach.cutOffSinceMs, 1);
});
