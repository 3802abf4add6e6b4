/** Tests of sessions at many VMs that learn of orders and servers by and by. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { playSite, type SitePlay } from "./rollout_site_fixture.ts";

const SEEDS = [1, 2, 3, 4, 5];
const GOOD = {
  target: "v2",
  atMs: 6000,
  durationMs: 24_000,
  serverLeadMs: 300,
};
const SITE: Omit<SitePlay, "seed"> = {
  vmCount: 96,
  placeCount: 2,
  serverCount: 4,
  sessionCount: 200,
  rollouts: [GOOD],
  endMs: 36_000,
};

const CASES: Record<string, Partial<SitePlay>> = {
  "a good one": {},
  "one after a completed one": {
    rollouts: [GOOD, { ...GOOD, target: "v3", atMs: 40_000 }],
    endMs: 68_000,
  },
  "one after a reverted one": {
    rollouts: [
      { ...GOOD, foundAfterMs: 5000 },
      { ...GOOD, target: "v3", atMs: 24_000 },
    ],
    endMs: 52_000,
  },
  "one before the servers of a reverted one have left": {
    rollouts: [
      { ...GOOD, foundAfterMs: 5000 },
      { ...GOOD, target: "v3", atMs: 13_000 },
    ],
    restarts: [8, 9, 10, 11].map((vm) => ({ atMs: 500 + 1000 * vm, vm })),
    endMs: 40_000,
  },
  "one that takes the place of an open one": {
    rollouts: [GOOD, { ...GOOD, target: "v3", atMs: 13_000 }],
    endMs: 40_000,
  },
  "VMs that start in the middle": {
    restarts: Array.from({ length: 24 }, (_, index) => ({
      atMs: 4000 + 1000 * index,
      vm: 4 * index,
    })),
  },
};

for (const [name, fields] of Object.entries(CASES)) {
  // Guards against PINNED: VMs that know different things of a roll-out.
  test(`sessions keep their version at many VMs: ${name}`, () => {
    for (const seed of SEEDS) {
      const { changes, ranCount } = playSite({ ...SITE, ...fields, seed });
      const [first] = changes;
      const fault = first && { count: changes.length, first };
      assert.equal(fault, undefined, `seed ${seed}: ${JSON.stringify(fault)}`);
      assert.ok(ranCount > 4000, `${ranCount} requests ran`);
    }
  });
}
