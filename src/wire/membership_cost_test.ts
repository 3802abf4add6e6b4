/** Tests that a VM's membership traffic does not grow with the group. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  entryVm,
  entryVms,
  SimulatedNetwork,
} from "../decision/membership_fixture.ts";
import { encodeFrame } from "./frame.ts";

const PLACES = ["north-a", "north-b", "north-c", "south-a", "south-b"];
const TARGET_SIZE = 410;
const MS_PER_S = 1000;

class MeasuredNetwork {
  sentBytes = 0;
  readonly network: SimulatedNetwork;
  readonly #size: number;

  constructor(size: number) {
    this.#size = size;
    this.network = new SimulatedNetwork({
      seed: 410,
      delayMs: 3,
      onSend: (_from, message) => {
        const frame = { kind: "membership", position: 1, ageMs: 1, message };
        this.sentBytes += encodeFrame(frame)._unsafeUnwrap().byteLength;
      },
    });
    const vms = entryVms(size, PLACES);
    for (const vm of vms) this.network.start(vm, vms);
  }

  /** Runs the network and returns the mean sent bytes per VM and second. */
  bytesPerSecond(durationMs: number): number {
    this.sentBytes = 0;
    this.network.run(durationMs);
    return this.sentBytes / this.#size / (durationMs / MS_PER_S);
  }
}

test("a VM sends at most 1.2 times as much among 410 members as among 41, and under 3.5 KB/s", () => {
  const small = new MeasuredNetwork(41).bytesPerSecond(30_000);
  const large = new MeasuredNetwork(TARGET_SIZE).bytesPerSecond(30_000);
  assert.ok(large < 1.2 * small, `${large} B/s compared with ${small} B/s`);
  assert.ok(large < 3500, String(large));
});

test("among 410 members all detect four lost ones within a minute at bounded cost", () => {
  const measured = new MeasuredNetwork(TARGET_SIZE);
  const { network } = measured;
  network.run(5000);
  const LOST = 4;
  for (let index = 0; index < LOST; index++) network.kill(`vm-${index}`);
  const newVm = entryVm("vm-new", { place: "north-a" });
  network.start(newVm, entryVms(TARGET_SIZE, PLACES).slice(LOST));
  const bytesPerSecond = measured.bytesPerSecond(30_000);
  assert.ok(bytesPerSecond < 3500, String(bytesPerSecond));
  assert.notEqual(
    network.runUntil(() => network.hasConverged(), 30_000),
    undefined,
  );
});
