/** Tests of the faults of a target version: failures and slow answers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Random } from "../model/mod.ts";
import { seededRandom } from "./membership_fixture.ts";
import {
  addPace,
  addSample,
  EMPTY_TALLY,
  mergeTallies,
  type PaceSample,
  type TallySample,
  tallySince,
  type VersionTally,
} from "./version_tally.ts";
import { targetFault } from "./version_fault.ts";

/** Standard deviation of the logarithm of times, as on played days. */
const SCATTER = 1.2;
const TRIALS = 3000;

function sampleOf(fields: Partial<TallySample> = {}): TallySample {
  return {
    route: "drafts",
    isTarget: true,
    isError: false,
    firstByteMs: 120,
    distanceMs: 0,
    isBusy: false,
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

/** Standard deviation of the logarithm of pauses between parts. */
const PAUSE_SCATTER = 0.3;
/** Share of answers with far longer pauses, while other prompts are read. */
const HELD_UP_SHARE = 0.1;
const HELD_UP_FACTOR = 4;

function paceOf(fields: Partial<PaceSample> = {}): PaceSample {
  return {
    model: "small",
    isTarget: true,
    pauseMs: 18,
    runningCount: 0,
    backendId: "one",
    ...fields,
  };
}

function paceTallyOf(
  ...groups: [number, Partial<PaceSample>][]
): VersionTally {
  let tally = EMPTY_TALLY;
  for (const [count, fields] of groups) {
    for (let index = 0; index < count; index++) {
      const backendId = `server-${index % 2}`;
      tally = addPace(tally, paceOf({ backendId, ...fields }));
    }
  }
  return tally;
}

const BUSY_OTHERS: [number, Partial<PaceSample>] = [60, {
  isTarget: false,
  pauseMs: 29,
  runningCount: 9,
}];

test("a few answers of an idle target with long pauses are a fault beside a busy version", () => {
  // As on a played day: the first bytes of both versions take equally long.
  const slow = paceTallyOf(BUSY_OTHERS, [4, { pauseMs: 83 }]);
  assert.match(targetFault(slow) ?? "", /4 answers came several times slower/);
  const good = paceTallyOf(BUSY_OTHERS, [30, {}]);
  assert.equal(targetFault(good), undefined);
});

test("long pauses of a single server are no fault of its version", () => {
  const tally = paceTallyOf(BUSY_OTHERS, [20, {
    pauseMs: 83,
    backendId: "one",
  }]);
  assert.equal(targetFault(tally), undefined);
});

test("the pace of a larger model is compared with its own", () => {
  const tally = paceTallyOf(
    BUSY_OTHERS,
    [20, { isTarget: false, model: "large", pauseMs: 90 }],
    [10, { model: "large", pauseMs: 80 }],
  );
  assert.equal(targetFault(tally), undefined);
});

test("a target under load is no slower than others that are idle now", () => {
  const before = paceTallyOf(BUSY_OTHERS);
  const ramp = paceTallyOf(
    [40, { pauseMs: 70, runningCount: 30 }],
    [20, { isTarget: false, pauseMs: 18 }],
  );
  const all = mergeTallies([before, ramp]);
  assert.equal(targetFault(tallySince(all, before)), undefined);
});

test("paces that scatter as those of the others are no fault, slower ones are", () => {
  const random = seededRandom(20_261_204);
  const pauseMs = (factor: number): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) *
      Math.cos(2 * Math.PI * random());
    const heldUp = random() < HELD_UP_SHARE ? HELD_UP_FACTOR : 1;
    return 20 * factor * heldUp * Math.exp(PAUSE_SCATTER * normal);
  };
  const faultShare = (count: number, factor: number): number => {
    let faultCount = 0;
    for (let trial = 0; trial < TRIALS; trial++) {
      let tally = EMPTY_TALLY;
      for (let index = 0; index < count + 40; index++) {
        const isTarget = index < count;
        tally = addPace(
          tally,
          paceOf({
            isTarget,
            pauseMs: pauseMs(isTarget ? factor : 1),
            backendId: `server-${index % 3}`,
          }),
        );
      }
      if (targetFault(tally) !== undefined) faultCount += 1;
    }
    return faultCount / TRIALS;
  };
  for (const count of [4, 6, 12]) {
    const share = faultShare(count, 1);
    assert.ok(share <= 0.001, `${share} of ${count} answers`);
  }
  const found = faultShare(8, 4);
  assert.ok(found >= 0.95, `${found}`);
});
