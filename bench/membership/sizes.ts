/**
 * Measures the cost of membership at sizes that one machine can't run as
 * processes, on an in-memory network: encoded bytes sent and received per VM
 * and second, at rest and after VMs fail, and the time until all VMs agree on
 * the failures. Prints one JSON line per size.
 *
 * Usage: node dist/bench/membership/sizes.js [SIZE...]
 */
import process from "node:process";
import {
  entryVms,
  SimulatedNetwork,
} from "../../src/decision/membership_fixture.ts";
import { encodeFrame } from "../../src/wire/mod.ts";

const SIZES = [8, 41, 102, 205, 410];
const PLACES = ["north-a", "north-b", "north-c", "south-a", "south-b"];
const MS_PER_S = 1000;
const WINDOW_MS = 60_000;
const LOST_SHARE = 0.01;
const SEED = 1;

for (const size of parseSizes()) {
  let sentBytes = 0;
  const network = new SimulatedNetwork({
    seed: SEED,
    delayMs: 3,
    onSend: (_from, message) => {
      const frame = { kind: "membership", position: 1, ageMs: 1, message };
      sentBytes += encodeFrame(frame)._unsafeUnwrap().byteLength;
    },
  });
  const vms = entryVms(size, PLACES);
  for (const vm of vms) network.start(vm, vms);
  const takeBytesPerSecond = (durationMs: number): number => {
    const sentAndReceived = 2 * sentBytes / size;
    sentBytes = 0;
    return Math.round(sentAndReceived / (durationMs / MS_PER_S));
  };
  network.run(WINDOW_MS);
  const atRest = takeBytesPerSecond(WINDOW_MS);
  const lostCount = Math.max(1, Math.round(size * LOST_SHARE));
  for (let index = 0; index < lostCount; index++) network.kill(`vm-${index}`);
  const settledMs = network.runUntil(() => network.hasConverged(), WINDOW_MS);
  const inLoss = takeBytesPerSecond(settledMs ?? WINDOW_MS);
  console.log(JSON.stringify({ size, atRest, lostCount, inLoss, settledMs }));
}

function parseSizes(): readonly number[] {
  const sizes = process.argv.slice(2).map(Number);
  return sizes.length > 0 ? sizes : SIZES;
}
