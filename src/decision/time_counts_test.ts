/** Tests of the counts of times, and of what slow answers say. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type Random } from "../model/mod.ts";
import { logLikelihoodRatio } from "./log_likelihood.ts";
import { seededRandom } from "./membership_fixture.ts";
import {
  combineTimeCounts,
  type GroupedTimeCounts,
  MAX_TIME_BUCKETS,
  type SlowEvidence,
  slowEvidence,
  timeCountsOf,
} from "./time_counts.ts";
import {
  addSample,
  EMPTY_TALLY,
  mergeTallies,
  tallySince,
  type VersionTally,
} from "./version_tally.ts";
import { targetFault } from "./version_fault.ts";

const TRIALS = 1000;
const OTHER_COUNT = 100;
/** Scatter of the logarithm of times: of a plain service, of generations. */
const SCATTERS = [0.5, 1.2] as const;
const SLOW_SHARE = 0.5;

function timesOf(timesMs: readonly number[]): GroupedTimeCounts {
  let times: GroupedTimeCounts = {};
  for (const ms of timesMs) {
    times = combineTimeCounts(times, { drafts: timeCountsOf(ms) }, 1);
  }
  return times;
}

function scatteredMs(random: Random, scatter: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return 120 * Math.exp(scatter * normal);
}

function withAnswers(
  tally: VersionTally,
  { timesMs, isTarget }: {
    readonly timesMs: readonly number[];
    readonly isTarget: boolean;
  },
): VersionTally {
  return timesMs.reduce(
    (sum, firstByteMs) =>
      addSample(sum, {
        route: "drafts",
        isTarget,
        isError: false,
        firstByteMs,
        distanceMs: 0,
        isBusy: false,
        backendId: "one",
      }),
    tally,
  );
}

/** The share of trials in which the target is found bad by its nth answer. */
function foundShare(
  count: number,
  { scatter, slowFactor }: {
    readonly scatter: number;
    readonly slowFactor: number;
  },
): number {
  const random = seededRandom(20_261_204);
  let foundCount = 0;
  for (let trial = 0; trial < TRIALS; trial++) {
    const otherMs = Array.from(
      { length: OTHER_COUNT },
      () => scatteredMs(random, scatter),
    );
    let tally = withAnswers(EMPTY_TALLY, { timesMs: otherMs, isTarget: false });
    for (let index = 0; index < count; index++) {
      const factor = random() < SLOW_SHARE ? slowFactor : 1;
      const firstByteMs = factor * scatteredMs(random, scatter);
      tally = withAnswers(tally, { timesMs: [firstByteMs], isTarget: true });
      if (targetFault(tally) === undefined) continue;
      foundCount += 1;
      break;
    }
  }
  return foundCount / TRIALS;
}

// Guards against EXPOSURE: a slow half hardly moves a mean.
test("a version half of whose answers are eight times slower is found before the 50th of these", () => {
  for (const scatter of SCATTERS) {
    const count = 49 / SLOW_SHARE;
    const share = foundShare(count, { scatter, slowFactor: 8 });
    assert.ok(share >= 0.98, `${share} with a scatter of ${scatter}`);
  }
});

test("equal versions are hardly ever found slow, however often they are compared", () => {
  for (const scatter of SCATTERS) {
    const share = foundShare(60, { scatter, slowFactor: 1 });
    assert.ok(share <= 0.01, `${share} with a scatter of ${scatter}`);
  }
});

test("answers twice as slow, as with an empty cache, are no evidence", () => {
  const others = timesOf(Array<number>(OTHER_COUNT).fill(160));
  const target = timesOf(Array<number>(40).fill(320));
  assert.ok(slowEvidence(target, others).evidence <= 0);
});

test("routes are compared with their own times", () => {
  const others = {
    ...timesOf(Array<number>(50).fill(100)),
    reviews: timesOf(Array<number>(50).fill(1600)).drafts ?? [],
  };
  const target = {
    reviews: timesOf(Array<number>(30).fill(1600)).drafts ?? [],
  };
  assert.ok(slowEvidence(target, others).evidence <= 0);
});

test("a version that turns slow late is found in the newest window", () => {
  const before = withAnswers(
    withAnswers(EMPTY_TALLY, {
      timesMs: Array<number>(200).fill(100),
      isTarget: false,
    }),
    { timesMs: Array<number>(60).fill(100), isTarget: true },
  );
  const since = withAnswers(EMPTY_TALLY, {
    timesMs: [...Array<number>(5).fill(100), ...Array<number>(5).fill(800)],
    isTarget: true,
  });
  const all = mergeTallies([before, since]);
  assert.equal(targetFault(all), undefined);
  assert.match(targetFault(tallySince(all, before)) ?? "", /5 of 10/);
});

test("counts that are added and taken away leave what was", () => {
  const counts = fc.array(fc.nat(9), { maxLength: MAX_TIME_BUCKETS });
  fc.assert(
    fc.property(counts, counts, (a, b) => {
      const sum = combineTimeCounts({ one: a }, { one: b }, 1);
      const back = combineTimeCounts(sum, { one: b }, -1).one ?? [];
      assert.deepEqual(back.slice(0, a.length), a);
      assert.ok(back.slice(a.length).every((count) => count === 0));
      assert.ok(sum.one?.every((count) => Number.isInteger(count)));
    }),
  );
});

/** The evidence of one length after the other, each from the counts anew. */
function plainEvidence(
  target: GroupedTimeCounts,
  others: GroupedTimeCounts,
): SlowEvidence {
  const total = (counts: readonly number[]): number =>
    counts.reduce((sum, count) => sum + count, 0);
  const medianOf = (counts: readonly number[]): number =>
    counts.findIndex((_, bucket) =>
      total(counts.slice(0, bucket + 1)) >= total(counts) / 2
    );
  let strongest: SlowEvidence = { evidence: 0, slowCount: 0, count: 0 };
  for (const offset of [4, 5, 6, 7]) {
    const compared = Object.keys(target).filter((group) =>
      total(others[group] ?? []) >= 10
    );
    const fromOf = (group: string): number =>
      Math.max(
        timeCountsOf(80).length,
        medianOf(others[group] ?? []) + offset,
      );
    const sumOf = (of: GroupedTimeCounts, isSlow: boolean): number =>
      total(
        compared.map((group) =>
          total((of[group] ?? []).slice(isSlow ? fromOf(group) : 0))
        ),
      );
    const [slowCount, count] = [sumOf(target, true), sumOf(target, false)];
    const otherShare = Math.min(
      0.15,
      0.02 + 1.5 * (sumOf(others, true) + 1) / (sumOf(others, false) + 1),
    );
    const evidence = logLikelihoodRatio({ hitCount: slowCount, count }, {
      share: 0.3,
      otherShare,
    });
    if (evidence > strongest.evidence) {
      strongest = { evidence, slowCount, count };
    }
  }
  return strongest;
}

// Guards against a version that is judged by other counts than it has.
test("the evidence is that of the plain computation", () => {
  const countsOf = (maxLength: number): fc.Arbitrary<number[]> =>
    fc.array(fc.nat(9), { maxLength, size: "max" });
  const any = countsOf(MAX_TIME_BUCKETS);
  const targets = fc.record({ one: any, two: any, three: any }, {
    requiredKeys: [],
  });
  const fast = fc.oneof(countsOf(8), any);
  const others = fc.record({ one: fast, two: fast }, { requiredKeys: [] });
  let evidentCount = 0;
  fc.assert(
    fc.property(targets, others, (ofTarget, ofOthers) => {
      const found = slowEvidence(ofTarget, ofOthers);
      assert.deepEqual(found, plainEvidence(ofTarget, ofOthers));
      if (found.evidence > 0) evidentCount += 1;
    }),
    { seed: 20_261_206, numRuns: 2000 },
  );
  assert.ok(evidentCount > 100, String(evidentCount));
});

test("any time has a bucket", () => {
  for (const ms of [0, 0.4, 1, 149, 10_000, Number.MAX_VALUE]) {
    assert.ok(timeCountsOf(ms).length <= MAX_TIME_BUCKETS);
  }
});
