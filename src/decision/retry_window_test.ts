/** Tests of the retry window: its bound, and the loss of many servers. */
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

test("every stream may be retried when a quarter of servers is lost", () => {
  let window = EMPTY_RETRY_WINDOW;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 200) {
    window = countInWindow(window, "request", { bound: BOUND, nowMs });
    if (nowMs % 400 !== 0) continue;
    window = countInWindow(window, "repeat", { bound: BOUND, nowMs });
  }
  const { leftCount } = retriesLeft(window, { bound: BOUND, nowMs: 10_000 });
  assert.ok(leftCount >= 20, `${leftCount}`);
});

test("no window contains more retries than its bound", () => {
  const steps = fc.array(
    fc.record({ gapMs: fc.nat(900), isRequest: fc.boolean() }),
    { maxLength: 150 },
  );
  fc.assert(fc.property(steps, (generated) => {
    let window = EMPTY_RETRY_WINDOW;
    let nowMs = 0;
    const sent: { atMs: number; isRequest: boolean }[] = [];
    for (const { gapMs, isRequest } of generated) {
      nowMs += gapMs;
      const options = { bound: BOUND, nowMs };
      if (!isRequest && retriesLeft(window, options).leftCount < 1) continue;
      window = countInWindow(window, isRequest ? "request" : "repeat", options);
      sent.push({ atMs: nowMs, isRequest });
      const inWindow = sent.filter(({ atMs }) => nowMs - atMs < 10_000);
      const inLonger = sent.filter(({ atMs }) => nowMs - atMs <= 10_250);
      const retries = inWindow.filter((attempt) => !attempt.isRequest).length;
      const requests = inLonger.filter((attempt) => attempt.isRequest).length;
      assert.ok(retries <= BOUND.ratio * requests + BOUND.slackCount);
    }
  }));
});

test("retries older than the window no longer count", () => {
  let window = EMPTY_RETRY_WINDOW;
  for (let count = 0; count < 7; count++) {
    window = countInWindow(window, "repeat", { bound: BOUND, nowMs: 100 });
  }
  const at = (nowMs: number) => retriesLeft(window, { bound: BOUND, nowMs });
  assert.equal(at(9000).leftCount, 0);
  assert.equal(at(10_600).leftCount, 7);
});
