/** Tests that what is kept of the members is what a new computation gives. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownVms } from "./limited_vms.ts";
import { entryVm, entryVms, SimulatedNetwork } from "./membership_fixture.ts";
import {
  cachedByMembers,
  createMembership,
  type MembershipState,
} from "./membership_state.ts";
import { storeReadersOf } from "./store_reader.ts";

const PLACES = ["khomas-a", "erongo-a"];
const STEP_MS = 100;

// Guards against store readers or shares that are chosen among earlier members.
test("members that fail, leave, return and join are seen at once", () => {
  const network = new SimulatedNetwork({ seed: 195, lossShare: 0.05 });
  const vms = entryVms(12, PLACES);
  for (const vm of vms) network.start(vm, vms);
  const kept = new Map(
    network.names().map((vm) => [vm, {
      readersOf: cachedByMembers(storeReadersOf),
      vmsOf: cachedByMembers(knownVms),
    }]),
  );
  const run = (durationMs: number): void => {
    for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
      network.run(STEP_MS);
      for (const vm of network.names()) {
        const state = network.stateOf(vm);
        const { readersOf = storeReadersOf, vmsOf = knownVms } = kept.get(vm) ??
          {};
        assert.deepEqual(readersOf(state), storeReadersOf(state));
        assert.deepEqual(vmsOf(state), knownVms(state));
      }
    }
  };
  run(2000);
  network.kill("vm-1");
  network.pause("vm-2");
  network.apply("vm-3", { kind: "status", status: "leaving" });
  run(8000);
  network.resume("vm-2");
  network.apply("vm-3", { kind: "status", status: "left" });
  network.start(entryVm("vm-new", { place: "erongo-a" }), vms);
  run(8000);
  assert.equal(network.statusOf("vm-0", "vm-1"), "dead");
  assert.equal(network.statusOf("vm-0", "vm-3"), "left");
  assert.equal(network.statusOf("vm-0", "vm-new"), "alive");
});

test("a value is kept for a VM and its members, and for no other VM", () => {
  let computedCount = 0;
  const nameOf = cachedByMembers(({ self }) => {
    computedCount += 1;
    return self.vm;
  });
  const [first, second] = ["vm-1", "vm-2"].map((vm) =>
    createMembership(
      { vm, place: "", address: "", peerAddress: "" },
      { nowMs: 0 },
    )
  ) as [MembershipState, MembershipState];
  assert.equal(first.members, second.members);
  assert.equal(nameOf(first), "vm-1");
  assert.equal(nameOf({ ...first, periodCount: 1 }), "vm-1");
  assert.equal(computedCount, 1);
  assert.equal(nameOf(second), "vm-2");
});
