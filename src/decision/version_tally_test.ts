/** Tests of the faults of a target version: failures and slow answers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  addSample,
  EMPTY_TALLY,
  mergeTallies,
  type TallySample,
  tallySince,
  targetFault,
  type VersionTally,
} from "./version_tally.ts";

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
