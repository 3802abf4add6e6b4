/** Tests of the time during which a process ran. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RunningTime } from "./running_time.ts";

const PERIOD_MS = 50;

/** Runs one sleep for each time that its timer is late. */
function timeOf(latenessesMs: readonly number[]): {
  readonly time: RunningTime;
  readonly clock: () => number;
} {
  let nowMs = 0;
  const left = [...latenessesMs];
  const clock = (): number => nowMs;
  const sleep = (durationMs: number): Promise<void> => {
    nowMs += durationMs + (left.shift() ?? 0);
    return Promise.resolve();
  };
  return { time: new RunningTime({ clock, sleep }), clock };
}

test("a sleep that ends in time counts in full", async () => {
  const { time } = timeOf([0]);
  await time.sleep(PERIOD_MS);
  assert.equal(time.nowMs(), PERIOD_MS);
});

test("a pause doesn't count and is followed by a second sleep", async () => {
  const { time, clock } = timeOf([3000, 0]);
  await time.sleep(PERIOD_MS);
  assert.equal(clock(), 3000 + 2 * PERIOD_MS);
  assert.equal(time.nowMs(), 2 * PERIOD_MS);
});

test("running time goes on however late every timer is", async () => {
  const { time } = timeOf(Array.from({ length: 40 }, () => 1000));
  for (let count = 0; count < 20; count += 1) await time.sleep(PERIOD_MS);
  assert.equal(time.nowMs(), 40 * PERIOD_MS);
});
