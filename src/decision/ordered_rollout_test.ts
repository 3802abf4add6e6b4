/** Tests of ordered roll-outs: target share and stages over time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  dueStage,
  keepsSessions,
  type OrderedRollout,
  targetShare,
} from "./ordered_rollout.ts";

const CANARY_SHARE = 0.15;

function rolloutOf(fields: Partial<OrderedRollout> = {}): OrderedRollout {
  return {
    order: {
      service: "drafting",
      target: "v2",
      durationMs: 24_000,
      offset: 3,
    },
    canaryShare: CANARY_SHARE,
    startedAtMs: 0,
    fault: undefined,
    stage: "active",
    ...fields,
  };
}

function shareAt(nowMs: number, fields: Partial<OrderedRollout> = {}): number {
  return targetShare(rolloutOf(fields), nowMs);
}

test("in the canary phase the target share is below the canary bound", () => {
  for (const nowMs of [0, 6000, 12_000]) {
    assert.ok(shareAt(nowMs) > 0 && shareAt(nowMs) < CANARY_SHARE);
  }
});

test("sessions keep their version for the first half, unless it is completed", () => {
  for (const nowMs of [0, 6000, 11_999]) {
    assert.ok(keepsSessions(rolloutOf(), nowMs));
    assert.ok(!keepsSessions(rolloutOf({ stage: "completed" }), nowMs));
  }
  for (const nowMs of [12_000, 23_000, 30_000]) {
    assert.ok(!keepsSessions(rolloutOf(), nowMs));
  }
});

test("up to the limit the target gets no more than its share, if no fault is found", () => {
  const steps = 2000;
  fc.assert(
    fc.property(fc.double({ min: 0.01, max: 0.9, noNaN: true }), (allowed) => {
      let exposure = 0;
      for (let step = 0; step < steps; step++) {
        const nowMs = (step + 0.5) * rolloutOf().order.durationMs / steps;
        exposure += shareAt(nowMs, { canaryShare: allowed }) / steps;
      }
      assert.ok(exposure <= allowed + 1 / steps, `${exposure} of ${allowed}`);
    }),
  );
  assert.equal(shareAt(rolloutOf().order.durationMs), 1);
});

test("the target share never falls while the target has no fault", () => {
  fc.assert(
    fc.property(fc.nat(30_000), fc.nat(30_000), (a, b) => {
      const [early, late] = a < b ? [a, b] : [b, a];
      assert.ok(shareAt(early) <= shareAt(late));
    }),
  );
});

test("a bad or reverted target has share 0, a completed one share 1", () => {
  assert.equal(shareAt(20_000, { fault: "3 of 7 failed" }), 0);
  assert.equal(shareAt(20_000, { stage: "reverted" }), 0);
  assert.equal(shareAt(1000, { stage: "completed" }), 1);
});

test("a roll-out becomes active, then completed once no other version runs", () => {
  const due = (nowMs: number, fields: Partial<OrderedRollout>, open = 0) =>
    dueStage(rolloutOf(fields), { nowMs, otherInFlightCount: open });
  assert.equal(due(100, { stage: undefined }), "active");
  assert.equal(due(12_000, {}), undefined);
  assert.equal(due(22_000, {}, 0), undefined);
  assert.equal(due(23_300, {}, 2), undefined);
  assert.equal(due(23_300, {}, 0), "completed");
});

test("a roll-out ends before its limit even if other versions still run", () => {
  assert.equal(
    dueStage(rolloutOf(), { nowMs: 23_400, otherInFlightCount: 9 }),
    "completed",
  );
  assert.equal(
    dueStage(rolloutOf({ fault: "slow" }), {
      nowMs: 300,
      otherInFlightCount: 9,
    }),
    "reverted",
  );
});

test("no stage is due after a roll-out has ended", () => {
  for (const stage of ["completed", "reverted"] as const) {
    const rollout = rolloutOf({ stage, fault: "late fault" });
    const due = dueStage(rollout, { nowMs: 23_000, otherInFlightCount: 0 });
    assert.equal(due, undefined);
  }
});
