/** Tests of sessions at many VMs that learn of orders and servers by and by. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  playSite,
  type ServerChange,
  type SitePlay,
} from "./rollout_site_fixture.ts";

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

/** All old servers change at about the same time, and are back later. */
function awayFrom(
  atMs: number,
  { status, forMs }: {
    readonly status: "gone" | "draining";
    readonly forMs: number;
  },
): ServerChange[] {
  return Array.from({ length: SITE.serverCount }).flatMap((_, index) => {
    const id = `v1-${index}`;
    return [
      { atMs: atMs + 100 * index, id, status },
      { atMs: atMs + forMs + 300 * index, id, status: "ready" as const },
    ];
  });
}

const CASES: Record<
  string,
  Partial<SitePlay> & { readonly minRanCount?: number }
> = {
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
  "a good one while all old servers are away": {
    changes: awayFrom(9000, { status: "gone", forMs: 6000 }),
  },
  "a good one while all old servers are away in its second half": {
    changes: awayFrom(20_000, { status: "gone", forMs: 5000 }),
  },
  "a good one while all old servers drain": {
    changes: awayFrom(9000, { status: "draining", forMs: 3000 }),
  },
  "a good one whose old servers don't come back": {
    changes: awayFrom(9000, { status: "gone", forMs: 60_000 }),
    minRanCount: 3000,
  },
  "VMs that start in the middle": {
    restarts: Array.from({ length: 24 }, (_, index) => ({
      atMs: 4000 + 1000 * index,
      vm: 4 * index,
    })),
  },
};

for (const [name, played] of Object.entries(CASES)) {
  const { minRanCount = 4000, ...fields } = played;
  // Guards against PINNED: VMs that know different things of a roll-out.
  test(`sessions keep their version at many VMs: ${name}`, () => {
    for (const seed of SEEDS) {
      const { changes, ranCount } = playSite({
        ...SITE,
        ...fields,
        seed,
      });
      const [first] = changes;
      const fault = first && { count: changes.length, first };
      assert.equal(fault, undefined, `seed ${seed}: ${JSON.stringify(fault)}`);
      assert.ok(ranCount > minRanCount, `${ranCount} requests ran`);
    }
  });
}
