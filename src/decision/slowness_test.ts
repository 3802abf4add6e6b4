/** Tests of a server's slowness compared with the others. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  addSlownessSample,
  NEUTRAL_SLOWNESS,
  slownessRatio,
} from "./slowness.ts";

test("a server four times slower is detected within ten samples", () => {
  let slowness = NEUTRAL_SLOWNESS;
  for (let count = 0; count < 10; count += 1) {
    const sample = { observedMs: 400, expectedMs: 100, nowMs: 0 };
    slowness = addSlownessSample(slowness, sample);
  }
  assert.ok(slownessRatio(slowness, 0) > 3);
});

test("the ratio of a slow server decays to 1 over time", () => {
  const sample = { observedMs: 1000, expectedMs: 100, nowMs: 0 };
  const slowness = addSlownessSample(NEUTRAL_SLOWNESS, sample);
  assert.ok(slownessRatio(slowness, 600_000) < 1.01);
});

test("a sample without an expected duration is ignored", () => {
  const sample = { observedMs: 1000, expectedMs: 0, nowMs: 0 };
  assert.equal(addSlownessSample(NEUTRAL_SLOWNESS, sample), NEUTRAL_SLOWNESS);
});
