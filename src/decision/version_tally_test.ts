/** Tests of what makes a version bad: failures, one route, slowness. */
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

const SOUND_OTHERS: [number, Partial<TallySample>] = [100, { isTarget: false }];

test("a few failures among a few answers condemn a version", () => {
  const tally = tallyOf(
    SOUND_OTHERS,
    [4, {}],
    [2, { isError: true }],
    [1, { isError: true, backendId: "two" }],
  );
  assert.match(targetFault(tally) ?? "", /3 of 7 failed/);
});

test("failures of one server do not condemn its version", () => {
  const tally = tallyOf(SOUND_OTHERS, [4, {}], [5, { isError: true }]);
  assert.equal(targetFault(tally), undefined);
});

test("a version as faulty as the others is not condemned", () => {
  const tally = tallyOf(
    [86, { isTarget: false }],
    [14, { isTarget: false, isError: true }],
    [17, {}],
    [2, { isError: true }],
    [1, { isError: true, backendId: "two" }],
  );
  assert.equal(targetFault(tally), undefined);
});

test("a version that fails on one route is condemned by that route", () => {
  const tally = tallyOf(
    SOUND_OTHERS,
    [60, { route: "tags" }],
    [3, {}],
    [2, { isError: true }],
    [1, { isError: true, backendId: "two" }],
  );
  assert.match(targetFault(tally) ?? "", /^drafts/);
});

test("a version that turns bad late is seen in the newest window", () => {
  const before = tallyOf(SOUND_OTHERS, [60, {}]);
  const failures = tallyOf(
    [3, { isError: true }],
    [3, { isError: true, backendId: "two" }],
    [8, {}],
  );
  const all = mergeTallies([before, failures]);
  assert.equal(targetFault(all), undefined);
  assert.match(targetFault(tallySince(all, before)) ?? "", /6 of 14/);
});

test("answers several times slower condemn a version", () => {
  const tally = tallyOf(SOUND_OTHERS, [8, { firstByteMs: 900 }]);
  assert.match(targetFault(tally) ?? "", /slower/);
  const fewer = tallyOf(SOUND_OTHERS, [3, { firstByteMs: 900 }]);
  assert.equal(targetFault(fewer), undefined);
});

test("an empty cache, twice as slow, does not", () => {
  const tally = tallyOf(SOUND_OTHERS, [30, { firstByteMs: 240 }]);
  assert.equal(targetFault(tally), undefined);
});
