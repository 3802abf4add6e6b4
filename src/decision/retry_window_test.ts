/** Tests of the budget of repeats: its bound in every window, and mass loss. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  countInWindow,
  EMPTY_RETRY_WINDOW,
  retriesLeft,
  type RetryBound,
} from "./retry_window.ts";

const BOUND: RetryBound = { ratio: 0.9, slackCount: 7, windowMs: 10_000 };

test("a quarter of all servers lost at once: every stream may go on", () => {
  let window = EMPTY_RETRY_WINDOW;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 200) {
    window = countInWindow(window, "request", { bound: BOUND, nowMs });
    if (nowMs % 400 !== 0) continue;
    window = countInWindow(window, "repeat", { bound: BOUND, nowMs });
  }
  const { leftCount } = retriesLeft(window, { bound: BOUND, nowMs: 10_000 });
  assert.ok(leftCount >= 20, `${leftCount}`);
});

test("no window holds more repeats than its bound", () => {
  const steps = fc.array(
    fc.record({ gapMs: fc.nat(900), isRequest: fc.boolean() }),
    { maxLength: 150 },
  );
  fc.assert(fc.property(steps, (given) => {
    let window = EMPTY_RETRY_WINDOW;
    let nowMs = 0;
    const seen: { atMs: number; isRequest: boolean }[] = [];
    for (const { gapMs, isRequest } of given) {
      nowMs += gapMs;
      const options = { bound: BOUND, nowMs };
      if (!isRequest && retriesLeft(window, options).leftCount < 1) continue;
      window = countInWindow(window, isRequest ? "request" : "repeat", options);
      seen.push({ atMs: nowMs, isRequest });
      const inWindow = seen.filter(({ atMs }) => nowMs - atMs < 10_000);
      const inLonger = seen.filter(({ atMs }) => nowMs - atMs <= 10_250);
      const repeats = inWindow.filter((one) => !one.isRequest).length;
      const requests = inLonger.filter((one) => one.isRequest).length;
      assert.ok(repeats <= BOUND.ratio * requests + BOUND.slackCount);
    }
  }));
});

test("what left the window counts no more", () => {
  let window = EMPTY_RETRY_WINDOW;
  for (let count = 0; count < 7; count++) {
    window = countInWindow(window, "repeat", { bound: BOUND, nowMs: 100 });
  }
  const at = (nowMs: number) => retriesLeft(window, { bound: BOUND, nowMs });
  assert.equal(at(9000).leftCount, 0);
  assert.equal(at(10_600).leftCount, 7);
});
