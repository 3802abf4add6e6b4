/** Tests of the division of a brittle server's permits among the VMs. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type BrittleResult, playBrittle } from "./brittle_play_fixture.ts";
import {
  backOff,
  type BrittlePart,
  brittlePartOf,
  brittlePermitCount,
  type BrittleServer,
  type BrittleVm,
  NO_BACKOFF,
  restorePermit,
  timeToRestoreMs,
} from "./brittle_server.ts";

const SEED = 20_261_204;
const MAX_VM_COUNT = 60;
const WORK_MS = 200;
/** Requests sent, as a multiple of what the servers can answer. */
const OVERLOAD = 1.5;

const serverArbitrary = fc.record({
  id: fc.string({ minLength: 1, maxLength: 12 }),
  slotCount: fc.integer({ min: 1, max: 12 }),
  refusalsPerSecond: fc.integer({ min: 0, max: 12 }),
});

function vmsOf(count: number): BrittleVm[] {
  return Array.from({ length: count }, (_, index) => ({ vm: `vm-${index}` }));
}

function partsOf(
  server: BrittleServer,
  vms: readonly BrittleVm[],
): BrittlePart[] {
  return vms.map((self) =>
    brittlePartOf(server, { self, others: vms.filter((vm) => vm !== self) })
  );
}

interface OverloadedPlay {
  readonly vmCount: number;
  readonly serverCount: number;
  readonly server: Omit<BrittleServer, "id">;
  readonly maxWaitingCount: number;
  /** Index of a VM that the others don't know. */
  readonly missedIndex?: number;
  readonly seed?: number;
}

function playOverload(play: OverloadedPlay): BrittleResult {
  const { vmCount, serverCount, server, missedIndex } = play;
  const vms = vmsOf(vmCount);
  const missed = missedIndex === undefined ? undefined : vms[missedIndex];
  const perSecond = serverCount * server.slotCount * 1000 / WORK_MS;
  return playBrittle({
    seed: play.seed ?? SEED,
    vms,
    othersOf: (self) => vms.filter((vm) => vm !== self && vm !== missed),
    servers: Array.from({ length: serverCount }, (_, index) => ({
      ...server,
      id: `server-${index}`,
    })),
    maxWaitingCount: play.maxWaitingCount,
    workMs: WORK_MS,
    wayMs: 4,
    requestsPerSecond: OVERLOAD * perSecond,
    durationMs: 10_000,
  });
}

test("the parts of all VMs are the permits of the server", () => {
  fc.assert(
    fc.property(
      serverArbitrary,
      fc.integer({ min: 1, max: MAX_VM_COUNT }),
      (server, count) => {
        const counts = partsOf(server, vmsOf(count))
          .map(({ permitCount }) => permitCount);
        const sum = counts.reduce((total, one) => total + one, 0);
        assert.equal(sum, brittlePermitCount(server));
        const used = counts.filter((one) => one > 0);
        assert.ok(Math.max(...used) - Math.min(...used) <= 1, `${counts}`);
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
});

test("no more may wait than half of the refusals that a server bears", () => {
  const waitingCounts = [0, 1, 2, 3, 4, 5, 100].map((refusalsPerSecond) =>
    brittlePermitCount({ id: "a", slotCount: 2, refusalsPerSecond }) - 2
  );
  assert.deepEqual(waitingCounts, [0, 0, 1, 1, 2, 2, 2]);
});

test("a server turns no more requests away in a second than it bears, however few may wait", () => {
  fc.assert(
    fc.property(
      serverArbitrary,
      fc.integer({ min: 1, max: MAX_VM_COUNT }),
      fc.nat(4),
      fc.nat(),
      (server, vmCount, maxWaitingCount, seed) => {
        const { mostRefusedCount } = playOverload({
          vmCount,
          serverCount: 3,
          server,
          maxWaitingCount,
          seed,
        });
        assert.ok(
          mostRefusedCount <= server.refusalsPerSecond,
          `${mostRefusedCount} refused`,
        );
      },
    ),
    { seed: SEED, numRuns: 100 },
  );
});

test("a VM that the others miss does not make a server fall, if its part is small", () => {
  fc.assert(
    fc.property(
      serverArbitrary,
      fc.integer({ min: 2, max: MAX_VM_COUNT }),
      fc.nat(MAX_VM_COUNT - 1),
      fc.nat(),
      (server, vmCount, missing, seed) => {
        const partCount = Math.ceil(brittlePermitCount(server) / vmCount);
        fc.pre(partCount <= server.refusalsPerSecond / 2);
        const { mostRefusedCount } = playOverload({
          vmCount,
          serverCount: 3,
          server,
          maxWaitingCount: 2,
          missedIndex: missing % vmCount,
          seed,
        });
        assert.ok(
          mostRefusedCount <= server.refusalsPerSecond,
          `${mostRefusedCount} refused`,
        );
      },
    ),
    { seed: SEED, numRuns: 100 },
  );
});

for (const [vmCount, serverCount] of [[1, 6], [3, 6], [5, 6], [60, 120]]) {
  test(`${vmCount} VMs use nine tenths of what ${serverCount} servers can answer`, () => {
    const { mostRefusedCount, usedShare } = playOverload({
      vmCount: vmCount ?? 0,
      serverCount: serverCount ?? 0,
      server: { slotCount: 2, refusalsPerSecond: 5 },
      maxWaitingCount: 2,
    });
    assert.ok(usedShare >= 0.9, `used ${usedShare}`);
    assert.ok(mostRefusedCount <= 5, `${mostRefusedCount} refused`);
  });
}

test("a refusal takes a permit until it may be tried again", () => {
  const server = { id: "a", slotCount: 2, refusalsPerSecond: 5 };
  const part = { permitCount: 2, userCount: 4 };
  const restoreAt = (nowMs: number, missingCount: number): number =>
    timeToRestoreMs({ missingCount, changedAtMs: 100 }, {
      server,
      part,
      nowMs,
    });
  let backoff = NO_BACKOFF;
  for (const missingCount of [1, 2, 2]) {
    backoff = backOff(backoff, { part, nowMs: 100 });
    assert.deepEqual(backoff, { missingCount, changedAtMs: 100 });
  }
  assert.equal(restoreAt(100, 2), 2000);
  assert.equal(restoreAt(2100, 2), 0);
  assert.equal(restoreAt(100, 0), 0);
  assert.deepEqual(restorePermit(backoff, 2100), {
    missingCount: 1,
    changedAtMs: 2100,
  });
});

test("many VMs try a permit again less often, however few refusals it bears", () => {
  const restoreMs = (refusalsPerSecond: number, userCount: number): number =>
    timeToRestoreMs({ missingCount: 1, changedAtMs: 0 }, {
      server: { id: "a", slotCount: 20, refusalsPerSecond },
      part: { permitCount: 1, userCount },
      nowMs: 0,
    });
  assert.equal(restoreMs(5, 20), 8000);
  assert.equal(restoreMs(1, 20), 10_000);
  assert.equal(restoreMs(0, 1), 10_000);
});
