/** Tests of the retry budget. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createRetryBudget,
  earnRetry,
  retryPauseMs,
  spendRetry,
} from "./retry_budget.ts";

const limits = { retryShare: 0.1, floorPerSecond: 0, burst: 2 };

test("retries are a share of requests once the burst is spent", () => {
  let budget = createRetryBudget(limits, 0);
  let spent = 0;
  for (let request = 0; request < 1000; request += 1) {
    budget = earnRetry(budget, limits);
    const next = spendRetry(budget, { limits, nowMs: request });
    if (next === undefined) continue;
    spent += 1;
    budget = next;
  }
  assert.ok(spent >= 100 && spent <= 102, `${spent} retries`);
});

test("a process without requests earns retries over time", () => {
  const timeOnly = { retryShare: 0, floorPerSecond: 1, burst: 1 };
  const spent = spendRetry(createRetryBudget(timeOnly, 0), {
    limits: timeOnly,
    nowMs: 0,
  });
  assert.ok(spent !== undefined);
  assert.equal(spendRetry(spent, { limits: timeOnly, nowMs: 900 }), undefined);
  assert.ok(spendRetry(spent, { limits: timeOnly, nowMs: 1000 }) !== undefined);
});

test("the pause is uniform below a bound that doubles", () => {
  const pause = (attempt: number): number =>
    retryPauseMs({ attempt, firstMs: 10, longestMs: 35, random: () => 0.5 });
  assert.deepEqual([0, 1, 2, 3].map(pause), [5, 10, 17.5, 17.5]);
});
