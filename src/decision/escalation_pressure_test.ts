/** Tests of the brownout of the cascade. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { playCascade, type RouteResult } from "./cascade_load_fixture.ts";
import {
  type EscalationLoad,
  escalationPressure,
} from "./escalation_pressure.ts";

function loadOf(fields: Partial<EscalationLoad> = {}): EscalationLoad {
  return {
    waitMs: 0,
    prefillMs: 100,
    targetMs: 2000,
    timeLeftMs: 20_000,
    priority: 0,
    ...fields,
  };
}

test("without a wait nothing is given up, however long the prompt is", () => {
  assert.equal(escalationPressure(loadOf({ prefillMs: 8000 })), 0);
});

test("a wait beyond the target gives up every escalation", () => {
  assert.equal(escalationPressure(loadOf({ waitMs: 2000 })), 1);
});

test("an answer is not dropped if the next could not begin in time", () => {
  const load = loadOf({ prefillMs: 400, timeLeftMs: 300 });
  assert.equal(escalationPressure(load), 1);
});

test("pressure grows with the wait and with less urgency, within its bounds", () => {
  const load = fc.record({
    waitMs: fc.nat(10_000),
    prefillMs: fc.nat(5000),
    targetMs: fc.nat(5000),
    timeLeftMs: fc.nat(25_000),
    priority: fc.nat(9),
  });
  fc.assert(
    fc.property(load, fc.nat(5000), (base, moreMs) => {
      const pressure = escalationPressure(base);
      assert.ok(pressure >= 0 && pressure <= 1);
      const longer = { ...base, waitMs: base.waitMs + moreMs };
      assert.ok(escalationPressure(longer) >= pressure);
      const lessUrgent = { ...base, priority: base.priority + 1 };
      assert.ok(escalationPressure(lessUrgent) >= pressure);
    }),
    { seed: 20261204, numRuns: 500 },
  );
});

/** Baseline: the usual threshold, whatever the load. */
const noPressure = (): number => 0;

test("on half of the engines the least urgent gain and the others lose nothing", () => {
  const options = { seed: 4, engineCount: 4 };
  const baseline = playCascade({ ...options, pressureOf: noPressure });
  const results = playCascade({ ...options, pressureOf: escalationPressure });
  for (const [index, result] of results.entries()) {
    const before = baseline[index] as RouteResult;
    const isTimely = result.timelyCount >= 0.99 * before.timelyCount;
    assert.ok(isTimely, `priority ${result.priority}: ${result.timelyCount}`);
  }
  const [last, lastBefore] = [results.at(-1), baseline.at(-1)];
  assert.ok(last !== undefined && lastBefore !== undefined);
  assert.ok(last.timelyCount > 1.1 * lastBefore.timelyCount);
  assert.ok(last.unservedCount < lastBefore.unservedCount / 2);
});

test("with all engines the larger model answers as often as before", () => {
  const options = { seed: 4, engineCount: 8 };
  const baseline = playCascade({ ...options, pressureOf: noPressure });
  const results = playCascade({ ...options, pressureOf: escalationPressure });
  assert.deepEqual(results, baseline);
});
