/** Test of the sum of all VMs' tallies, against the plain computation. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  addPace,
  addSample,
  EMPTY_TALLY,
  type PaceSample,
  type TallySample,
  type VersionTally,
} from "../../decision/mod.ts";
import {
  combineGroups,
  combineLogSums,
  EMPTY_LOG_SUMS,
} from "../../decision/log_sums.ts";
import { combineTimeCounts } from "../../decision/time_counts.ts";
import { RolloutRecord } from "./rollout_record.ts";

const SEED = 20_261_206;

const flags = {
  isTarget: fc.boolean(),
  backendId: fc.constantFrom("one", "two", "three"),
};

const sampleArbitrary: fc.Arbitrary<TallySample> = fc.record({
  ...flags,
  route: fc.constantFrom("drafts", "notes"),
  isError: fc.boolean(),
  isBusy: fc.boolean(),
  firstByteMs: fc.integer({ min: 1, max: 20_000 }),
  distanceMs: fc.constantFrom(0, 80),
});

const paceArbitrary: fc.Arbitrary<PaceSample> = fc.record({
  ...flags,
  model: fc.constantFrom("small", "large"),
  pauseMs: fc.integer({ min: 1, max: 500 }),
  runningCount: fc.nat(20),
});

/** One more outcome at this VM (`own`) or another one. */
const stepArbitrary = fc.record({
  vm: fc.constantFrom("own", "vm-1", "vm-2", "vm-3"),
  outcome: fc.oneof(
    sampleArbitrary.map((sample) => ({ kind: "sample" as const, sample })),
    paceArbitrary.map((pace) => ({ kind: "pace" as const, pace })),
  ),
});

function plainSum(a: VersionTally, b: VersionTally): VersionTally {
  const errors = (
    first: VersionTally["busyTarget"] = { count: 0, errorCount: 0 },
    second: VersionTally["busyTarget"] = { count: 0, errorCount: 0 },
  ): VersionTally["busyTarget"] => ({
    count: first.count + second.count,
    errorCount: first.errorCount + second.errorCount,
  });
  const routes = (
    first: VersionTally["target"],
    second: VersionTally["target"],
  ): VersionTally["target"] =>
    Object.fromEntries(
      Object.keys({ ...first, ...second }).map((route) => [route, {
        ...combineLogSums(
          first[route] ?? EMPTY_LOG_SUMS,
          second[route] ?? EMPTY_LOG_SUMS,
          1,
        ),
        errorCount: errors(first[route], second[route]).errorCount,
      }]),
    );
  const union = (...ids: string[]): string[] => [...new Set(ids)];
  return {
    target: routes(a.target, b.target),
    others: routes(a.others, b.others),
    busyTarget: errors(a.busyTarget, b.busyTarget),
    busyOthers: errors(a.busyOthers, b.busyOthers),
    failingIds: union(...a.failingIds, ...b.failingIds),
    targetTimes: combineTimeCounts(a.targetTimes, b.targetTimes, 1),
    otherTimes: combineTimeCounts(a.otherTimes, b.otherTimes, 1),
    targetPaces: combineGroups(a.targetPaces, b.targetPaces, 1),
    otherPaces: combineGroups(a.otherPaces, b.otherPaces, 1),
    pacedIds: union(...a.pacedIds, ...b.pacedIds),
  };
}

function recordOf(): RolloutRecord {
  return new RolloutRecord(
    { service: "drafting", target: "v2", durationMs: 24_000, offset: 4 },
    { canaryShare: 0.15, startedAtMs: 0, isStageKnown: true },
  );
}

// Guards against a version that is judged by an older or another sum.
test("the sum of all tallies is that of the plain computation after each change", () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
      const record = recordOf();
      const tallies = new Map([["own", EMPTY_TALLY]]);
      for (const [sequence, { vm, outcome }] of steps.entries()) {
        const before = tallies.get(vm) ?? EMPTY_TALLY;
        const tally = outcome.kind === "sample"
          ? addSample(before, outcome.sample)
          : addPace(before, outcome.pace);
        tallies.set(vm, tally);
        if (vm !== "own") {
          const vmTally = { vm, sequence, tally, otherInFlightCount: 0 };
          record.receiveTally(vmTally, { nowMs: 0, isDirect: true });
        } else if (outcome.kind === "sample") record.add(outcome.sample);
        else record.addPace(outcome.pace);
        const earlier = structuredClone([...tallies.values()]);
        const plain = earlier.reduce(plainSum, EMPTY_TALLY);
        assert.deepEqual(record.mergedTally, plain);
        assert.deepEqual([...tallies.values()], earlier);
      }
    }),
    { seed: SEED, numRuns: 100 },
  );
});

// Guards against a fault that is found late as nothing has changed meanwhile.
test("a version is judged the same whether or not its sum is computed anew", () => {
  const sample = fc.record({
    isTarget: fc.boolean(),
    isError: fc.boolean(),
    backendId: flags.backendId,
  });
  const periodArbitrary = fc.record({
    stepCount: fc.integer({ min: 1, max: 30 }),
    samples: fc.array(sample, { maxLength: 12 }),
  });
  let faultCount = 0;
  fc.assert(
    fc.property(fc.array(periodArbitrary, { maxLength: 8 }), (periods) => {
      const record = recordOf();
      const renewed = recordOf();
      let nowMs = 0;
      for (const { stepCount, samples } of periods) {
        for (const fields of samples) {
          const outcome = { ...fields, route: "drafts", isBusy: false };
          for (const each of [record, renewed]) {
            each.add({ ...outcome, firstByteMs: 90, distanceMs: 0 });
          }
        }
        for (let step = 0; step < stepCount; step++) {
          nowMs += 200;
          // Adds nothing, but the sum is another one.
          renewed.receiveTally({
            ...{ vm: "vm-1", sequence: nowMs, otherInFlightCount: 0 },
            tally: EMPTY_TALLY,
          }, { nowMs, isDirect: true });
          assert.equal(record.evaluate(nowMs), renewed.evaluate(nowMs));
        }
      }
      if (record.fault !== undefined) faultCount += 1;
    }),
    { seed: SEED, numRuns: 200 },
  );
  assert.ok(faultCount > 20 && faultCount < 180, String(faultCount));
});
