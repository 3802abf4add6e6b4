/**
 * Measures how long a record of the control stream takes to every VM when only
 * a few read the log and the others learn from peers, on a network in memory.
 * `node dist/bench/membership/spread.js`; one JSON line a size.
 */
import {
  entryVms,
  SimulatedNetwork,
} from "../../src/decision/membership_fixture.ts";

const SIZES = [8, 41, 205, 410];
const READER_COUNT = 5;
const PLACES = ["north-a", "north-b", "north-c", "south-a", "south-b"];
const DELAY_MS = 3;
const RUN_COUNT = 20;
const WARM_UP_MS = 3000;
const LIMIT_MS = 60_000;

for (const size of SIZES) {
  const tookMs: number[] = [];
  for (let seed = 1; seed <= RUN_COUNT; seed++) {
    const knowing = new Set<string>();
    const network = new SimulatedNetwork({
      seed,
      delayMs: DELAY_MS,
      onDeliver: (from, to) => {
        if (knowing.has(from)) knowing.add(to);
      },
    });
    const vms = entryVms(size, PLACES);
    for (const vm of vms) network.start(vm, vms);
    network.run(WARM_UP_MS);
    for (let index = 0; index < READER_COUNT; index++) {
      knowing.add(`vm-${index}`);
    }
    const took = network.runUntil(() => knowing.size === size, LIMIT_MS);
    tookMs.push(took ?? Number.POSITIVE_INFINITY);
  }
  tookMs.sort((a, b) => a - b);
  console.log(JSON.stringify({
    size,
    readers: READER_COUNT,
    runs: RUN_COUNT,
    medianMs: tookMs[Math.floor(RUN_COUNT / 2)],
    slowestMs: tookMs.at(-1),
  }));
}
