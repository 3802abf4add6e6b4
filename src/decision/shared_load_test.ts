/** Tests of the loads that VMs tell each other. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { chooseBackend } from "./backend_choice.ts";
import {
  expectedRequestCount,
  type LoadObservation,
  loadsToShare,
  receivedLoad,
} from "./shared_load.ts";
import {
  MAX_SHARED_OBSERVATIONS,
  maxHopCountFor,
  newerOf,
} from "./shared_observation.ts";
import { playRareTraffic, type ServerChoice } from "./shared_load_fixture.ts";

function loadOf(fields: Partial<LoadObservation> = {}): LoadObservation {
  return { requestCount: 10, observedAtMs: 0, hopCount: 0, ...fields };
}

test("the newest observation wins in any order and however often it comes", () => {
  const observation = fc.record({
    requestCount: fc.nat(64),
    observedAtMs: fc.nat(5000),
    hopCount: fc.nat(3),
  });
  const uniqueTimes = fc.uniqueArray(observation, {
    minLength: 1,
    maxLength: 8,
    selector: ({ observedAtMs }) => observedAtMs,
  });
  fc.assert(
    fc.property(uniqueTimes, fc.infiniteStream(fc.nat(7)), (loads, picks) => {
      const newest = loads.reduce((a, b) =>
        a.observedAtMs > b.observedAtMs ? a : b
      );
      const order = [...picks.take(20)].map((pick) =>
        loads[pick % loads.length] ?? newest
      );
      let current: LoadObservation | undefined;
      for (const load of [...order, ...loads]) {
        current = newerOf(current, load);
      }
      assert.deepEqual(current, newest);
    }),
    { seed: 20261204, numRuns: 300 },
  );
});

test("an observation fades with its age", () => {
  const load = loadOf();
  const counts = [0, 1500, 2750, 4000, 60_000].map((nowMs) =>
    expectedRequestCount(load, nowMs)
  );
  assert.deepEqual(counts, [10, 10, 5, 0, 0]);
  assert.equal(expectedRequestCount(undefined, 0), 0);
});

test("a message holds a bounded number of observations, the newest", () => {
  const loads = Array.from(
    { length: 4800 },
    (_, index) => [`server-${index}`, loadOf({ observedAtMs: index })] as const,
  );
  const shared = loadsToShare(loads, { nowMs: 4800, maxHopCount: 0 });
  assert.equal(shared.length, MAX_SHARED_OBSERVATIONS);
  assert.equal(shared[0]?.id, "server-4799");
  assert.ok(shared.every(({ ageMs }) => ageMs <= MAX_SHARED_OBSERVATIONS));
});

test("old observations are not passed on", () => {
  const loads = [["server", loadOf()]] as const;
  assert.deepEqual(loadsToShare(loads, { nowMs: 2001, maxHopCount: 3 }), []);
});

test("no observation goes back to the VM or data centre it came from", () => {
  const toReader = maxHopCountFor({
    isSenderReader: false,
    isReceiverReader: true,
  });
  const betweenReaders = maxHopCountFor({
    isSenderReader: true,
    isReceiverReader: true,
  });
  const toVm = maxHopCountFor({
    isSenderReader: true,
    isReceiverReader: false,
  });
  const received = (load: LoadObservation): LoadObservation => {
    const [shared] = loadsToShare([["server", load]], {
      nowMs: 100,
      maxHopCount: 3,
    });
    assert.ok(shared);
    return receivedLoad(shared, 100);
  };
  const own = loadOf();
  const atReader = received(own);
  const atOtherReader = received(atReader);
  const atOtherVm = received(atOtherReader);
  assert.deepEqual(
    [own, atReader, atOtherReader, atOtherVm].map(({ hopCount }) => hopCount),
    [0, 1, 2, 3],
  );
  assert.ok(own.hopCount <= toReader && atReader.hopCount > toReader);
  assert.ok(atReader.hopCount <= betweenReaders);
  assert.ok(atOtherReader.hopCount > betweenReaders);
  assert.ok(atOtherReader.hopCount <= toVm && atOtherVm.hopCount > toVm);
});

/** Baseline: the least loaded server by all that is known. */
const chooseLeastLoaded: ServerChoice = (candidates) => {
  const loads = candidates.map(({ loadCount }) => loadCount);
  return candidates[loads.indexOf(Math.min(...loads))];
};

test("with rare traffic for each VM, shared loads keep queues even", () => {
  const choose = chooseBackend;
  const alone = playRareTraffic({ seed: 1, sharePeriodMs: undefined, choose });
  const shared = playRareTraffic({ seed: 1, sharePeriodMs: 800, choose });
  assert.equal(shared.requestCount, alone.requestCount);
  assert.ok(
    shared.lateCount < alone.lateCount / 2,
    `${shared.lateCount} late with shared loads, ${alone.lateCount} without`,
  );
});

test("VMs with the same stale loads do not crowd the server that was idle", () => {
  const play = (choose: ServerChoice): number =>
    playRareTraffic({ seed: 2, sharePeriodMs: 2000, choose }).lateCount;
  const lateCount = play(chooseBackend);
  const baselineCount = play(chooseLeastLoaded);
  assert.ok(
    lateCount < baselineCount / 2,
    `${lateCount} late, ${baselineCount} with the least loaded server`,
  );
});
