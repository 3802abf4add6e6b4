/** Tests of spend rates and budget pressure. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { budgetPressure, observeSpend, type SpendRate } from "./budget.ts";

const MINUTE_MS = 60_000;
const MINUTES_PER_HOUR = 60;

function spendFor(minutes: number, microEurPerMinute: number): SpendRate {
  let rate = observeSpend(undefined, { totalMicroEur: 500, nowMs: 0 });
  for (let minute = 1; minute <= minutes; minute += 1) {
    rate = observeSpend(rate, {
      totalMicroEur: 500 + minute * microEurPerMinute,
      nowMs: minute * MINUTE_MS,
    });
  }
  return rate;
}

test("a steady spend yields its hourly rate", () => {
  const { rateMicroEurPerHour } = spendFor(120, 10);
  const expected = 10 * MINUTES_PER_HOUR;
  assert.ok(Math.abs(rateMicroEurPerHour - expected) < 1);
});

test("spend before the first reading does not count", () => {
  assert.equal(spendFor(0, 10).rateMicroEurPerHour, 0);
});

test("pressure rises from 0 at four fifths of the budget to 1 at the budget", () => {
  const rate = spendFor(120, 10);
  assert.equal(budgetPressure(rate, 900), 0);
  const half = budgetPressure(rate, 600 / 0.9);
  assert.ok(Math.abs(half - 0.5) < 0.01, `pressure ${half}`);
  assert.equal(budgetPressure(rate, 300), 1);
  assert.equal(budgetPressure(rate, 0), 1);
});

test("pressure falls after spending stops", () => {
  let rate = spendFor(120, 10);
  const { totalMicroEur } = rate;
  const nowMs = rate.observedAtMs + 30 * MINUTE_MS;
  rate = observeSpend(rate, { totalMicroEur, nowMs });
  assert.equal(budgetPressure(rate, 300), 0);
});

test("without a reading there is no pressure", () => {
  assert.equal(budgetPressure(undefined, 0), 0);
});
