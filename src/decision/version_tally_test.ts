/** Tests of the faults of a target version: failures and slow answers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Random } from "../model/mod.ts";
import { seededRandom } from "./membership_fixture.ts";
import {
  addSample,
  EMPTY_TALLY,
  mergeTallies,
  type TallySample,
  tallySince,
  targetFault,
  type VersionTally,
} from "./version_tally.ts";

/** Standard deviation of the logarithm of times, as on played days. */
const SCATTER = 1.2;
const TRIALS = 3000;

function sampleOf(fields: Partial<TallySample> = {}): TallySample {
  return {
    route: "drafts",
    isTarget: true,
    isError: false,
    firstByteMs: 120,
    backendId: "one",
    ...fields,
  };
}

function tallyOf(...groups: [number, Partial<TallySample>][]): VersionTally {
  let tally = EMPTY_TALLY;
  for (const [count, fields] of groups) {
    for (let index = 0; index < count; index++) {
      tally = addSample(tally, sampleOf(fields));
    }
  }
  return tally;
}

const HEALTHY_OTHERS: [number, Partial<TallySample>] = [100, {
  isTarget: false,
}];

test("a few failures among a few answers are a fault", () => {
  const tally = tallyOf(
    HEALTHY_OTHERS,
    [4, {}],
    [2, { isError: true }],
    [1, { isError: true, backendId: "two" }],
  );
  assert.match(targetFault(tally) ?? "", /3 of 7 failed/);
});

test("failures of a single server are no fault of its version", () => {
  const tally = tallyOf(HEALTHY_OTHERS, [4, {}], [5, { isError: true }]);
  assert.equal(targetFault(tally), undefined);
});

test("a failure rate like that of the other versions is no fault", () => {
  const tally = tallyOf(
    [86, { isTarget: false }],
    [14, { isTarget: false, isError: true }],
    [17, {}],
    [2, { isError: true }],
    [1, { isError: true, backendId: "two" }],
  );
  assert.equal(targetFault(tally), undefined);
});

test("failures on one route only are a fault on that route", () => {
  const tally = tallyOf(
    HEALTHY_OTHERS,
    [60, { route: "tags" }],
    [3, {}],
    [2, { isError: true }],
    [1, { isError: true, backendId: "two" }],
  );
  assert.match(targetFault(tally) ?? "", /^drafts/);
});

test("a version that turns bad late has a fault in the newest window", () => {
  const before = tallyOf(HEALTHY_OTHERS, [60, {}]);
  const failures = tallyOf(
    [3, { isError: true }],
    [3, { isError: true, backendId: "two" }],
    [8, {}],
  );
  const all = mergeTallies([before, failures]);
  assert.equal(targetFault(all), undefined);
  assert.match(targetFault(tallySince(all, before)) ?? "", /6 of 14/);
});

test("answers several times slower are a fault", () => {
  const tally = tallyOf(HEALTHY_OTHERS, [8, { firstByteMs: 900 }]);
  assert.match(targetFault(tally) ?? "", /slower/);
  const fewer = tallyOf(HEALTHY_OTHERS, [3, { firstByteMs: 900 }]);
  assert.equal(targetFault(fewer), undefined);
});

test("answers twice as slow, as with an empty cache, are no fault", () => {
  const tally = tallyOf(HEALTHY_OTHERS, [30, { firstByteMs: 240 }]);
  assert.equal(targetFault(tally), undefined);
});

/** Times of prompts and models that differ: log-normal, by Box and Muller. */
function scatteredMs(random: Random, medianMs: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return medianMs * Math.exp(SCATTER * normal);
}

/** The share of trials in which the target counts as slow. */
function slowShare(
  counts: { readonly target: number; readonly others: number },
  factor: number,
): number {
  const random = seededRandom(20_261_204);
  let slowCount = 0;
  for (let trial = 0; trial < TRIALS; trial++) {
    let tally = EMPTY_TALLY;
    for (let index = 0; index < counts.target + counts.others; index++) {
      const isTarget = index < counts.target;
      const firstByteMs = scatteredMs(random, isTarget ? 200 * factor : 200);
      tally = addSample(tally, sampleOf({ isTarget, firstByteMs }));
    }
    if (targetFault(tally) !== undefined) slowCount += 1;
  }
  return slowCount / TRIALS;
}

test("a few answers that scatter as those of the others are no fault", () => {
  for (const counts of [{ target: 8, others: 8 }, { target: 12, others: 8 }]) {
    const share = slowShare(counts, 1);
    assert.ok(share <= 0.001, `${share} of ${counts.target} answers`);
  }
});

test("scattered answers eight times slower are a fault before the 50th", () => {
  const share = slowShare({ target: 45, others: 100 }, 8);
  assert.ok(share >= 0.98, `${share}`);
});
