/** Tests of the graceful shutdown. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  acceptsNewWork,
  applyShutdown,
  createShutdown,
  type ShutdownEvent,
  type ShutdownState,
} from "./shutdown.ts";

const OPTIONS = {
  entryMaxAgeMs: 15_000,
  spreadMs: 3000,
  flushTimeoutMs: 30_000,
};
const TERMINATE = { kind: "terminate" } as const;

function progress(openCount: number, unconfirmedCount = 0): ShutdownEvent {
  return { kind: "progress", openCount, unconfirmedCount };
}

function run(
  events: readonly (readonly [number, ShutdownEvent])[],
): { state: ShutdownState; effects: string[] } {
  let state = createShutdown(OPTIONS);
  const effects: string[] = [];
  for (const [nowMs, event] of events) {
    const step = applyShutdown(state, event, nowMs);
    state = step.state;
    effects.push(...step.effects.map(({ kind }) => kind));
  }
  return { state, effects };
}

test("a VM accepts requests until its advertised addresses expire", () => {
  const before = run([[0, TERMINATE], [17_999, progress(0)]]);
  assert.equal(acceptsNewWork(before.state, 17_999), true);
  const after = run([[0, TERMINATE], [18_000, progress(0)]]);
  assert.equal(acceptsNewWork(after.state, 18_000), false);
  assert.deepEqual(after.effects, ["announce", "refuse_new_work"]);
  assert.equal(acceptsNewWork(before.state, 18_000), false);
});

test("a second termination signal doesn't shorten any phase", () => {
  const { state } = run([
    [0, TERMINATE],
    [10, TERMINATE],
    [18_000, progress(1)],
    [18_010, TERMINATE],
    [90_000, progress(1)],
  ]);
  assert.equal(state.phase, "refusing");
});

test("no request in progress is interrupted, however long it takes", () => {
  const day = 86_400_000;
  const { state } = run([
    [0, TERMINATE],
    [18_000, progress(1)],
    [day, progress(1)],
  ]);
  assert.equal(state.phase, "refusing");
});

test("a VM leaves once its records are confirmed", () => {
  const { state, effects } = run([
    [0, TERMINATE],
    [18_000, progress(1)],
    [19_000, progress(0, 2)],
    [20_000, progress(0, 2)],
    [21_000, progress(0, 0)],
  ]);
  assert.equal(state.phase, "left");
  assert.deepEqual(effects, [
    "announce",
    "refuse_new_work",
    "flush",
    "announce",
    "close",
  ]);
});

test("an unreachable log delays a VM by no more than the flush timeout", () => {
  const events = [
    [0, TERMINATE],
    [18_000, progress(0)],
    [18_000, progress(0, 2)],
    [47_999, progress(0, 2)],
  ] as const;
  assert.equal(run(events).state.phase, "flushing");
  assert.equal(run([...events, [48_000, progress(0, 2)]]).state.phase, "left");
});
