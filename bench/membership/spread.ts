/**
 * Measures the time until a control record reaches every VM when a few VMs read
 * the log and the others receive it from peers, on an in-memory network. Prints
 * one JSON line per size.
 *
 * Usage: node dist/bench/membership/spread.js
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
const TIMEOUT_MS = 60_000;

for (const size of SIZES) {
  const durationsMs: number[] = [];
  for (let seed = 1; seed <= RUN_COUNT; seed++) {
    const informedVms = new Set<string>();
    const network = new SimulatedNetwork({
      seed,
      delayMs: DELAY_MS,
      onDeliver: (from, to) => {
        if (informedVms.has(from)) informedVms.add(to);
      },
    });
    const vms = entryVms(size, PLACES);
    for (const vm of vms) network.start(vm, vms);
    network.run(WARM_UP_MS);
    for (let index = 0; index < READER_COUNT; index++) {
      informedVms.add(`vm-${index}`);
    }
    const durationMs = network.runUntil(
      () => informedVms.size === size,
      TIMEOUT_MS,
    );
    durationsMs.push(durationMs ?? Number.POSITIVE_INFINITY);
  }
  durationsMs.sort((a, b) => a - b);
  console.log(JSON.stringify({
    size,
    readers: READER_COUNT,
    runs: RUN_COUNT,
    medianMs: durationsMs[Math.floor(RUN_COUNT / 2)],
    slowestMs: durationsMs.at(-1),
  }));
}
