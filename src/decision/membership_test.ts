/** Tests of membership through loss, death, pauses, cuts and replacement. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Vm } from "../model/mod.ts";
import { type MemberUpdate } from "./member.ts";
import { applyMembership } from "./membership.ts";
import {
  entryVm,
  entryVms,
  type NetworkOptions,
  seededRandom,
  SimulatedNetwork,
} from "./membership_fixture.ts";
import { createMembership } from "./membership_state.ts";

const PLACES = ["khomas-a", "erongo-a", "oshana-a"];

function networkOf(
  vms: readonly Vm[],
  options: NetworkOptions,
): SimulatedNetwork {
  const network = new SimulatedNetwork(options);
  for (const vm of vms) network.start(vm, vms);
  return network;
}

test("a VM that died is dead to all, and no other is", () => {
  const vms = entryVms(8, PLACES);
  const network = networkOf(vms, { seed: 1, delayMs: 12 });
  network.run(5000);
  network.kill("vm-3");
  const tookMs = network.runUntil(() => network.hasConverged(), 30_000);
  assert.notEqual(tookMs, undefined);
  network.run(30_000);
  const blamed = new Set(
    network.changes.filter(({ status }) => status === "dead")
      .map(({ vm }) => vm),
  );
  assert.deepEqual([...blamed], ["vm-3"]);
});

test("5% loss makes no VM dead and few suspect", () => {
  const vms = entryVms(8, PLACES);
  const network = networkOf(vms, { seed: 2, delayMs: 12, lossShare: 0.05 });
  const MINUTES = 10;
  network.run(MINUTES * 60_000);
  const dead = network.changes.filter(({ status }) => status === "dead");
  const suspect = network.changes.filter(({ status }) => status === "suspect");
  assert.equal(dead.length, 0);
  const probeCount = vms.length * MINUTES * 60;
  assert.ok(suspect.length / vms.length / probeCount < 0.002);
});

test("indirect probes save a VM that one peer cannot reach", () => {
  const network = networkOf(entryVms(8, PLACES), { seed: 3 });
  network.run(2000);
  network.isPartitioned = (from, to) =>
    [from, to].includes("vm-0") && [from, to].includes("vm-1");
  network.run(120_000);
  const blamed = network.changes.filter(({ status }) => status === "suspect");
  assert.deepEqual(blamed, []);
});

test("a paused VM wakes, refutes its death and blames nobody", () => {
  const network = networkOf(entryVms(8, PLACES), { seed: 4 });
  network.run(5000);
  network.pause("vm-2");
  network.run(60_000);
  assert.equal(network.statusOf("vm-0", "vm-2"), "dead");
  network.resume("vm-2");
  const tookMs = network.runUntil(() => network.hasConverged(), 30_000);
  assert.notEqual(tookMs, undefined);
  assert.ok(network.stateOf("vm-2").self.incarnation > 0);
  network.run(30_000);
  const blamed = network.changes.filter(({ seenBy, status }) =>
    seenBy === "vm-2" && (status === "suspect" || status === "dead")
  );
  assert.deepEqual(blamed, []);
});

test("a VM that wakes in the middle of a probe blames nobody", () => {
  const network = networkOf(entryVms(8, PLACES), { seed: 10, delayMs: 200 });
  network.run(5000);
  const PHASES = 10;
  for (let phase = 0; phase < PHASES; phase++) {
    network.run(1000 + phase * 100);
    network.pause("vm-2");
    network.run(3000);
    network.resume("vm-2");
  }
  const blamed = network.changes.filter(({ seenBy, status }) =>
    seenBy === "vm-2" && status === "suspect"
  );
  assert.deepEqual(blamed, []);
});

test("regions that lost each other for an hour find each other again", () => {
  const vms = entryVms(9, PLACES);
  const network = networkOf(vms, { seed: 5, delayMs: 12 });
  network.run(5000);
  const regionOf = (vm: string): number => Number(vm.slice(3)) % 3;
  network.isPartitioned = (from, to) => regionOf(from) !== regionOf(to);
  network.run(3_600_000);
  assert.equal(network.statusOf("vm-0", "vm-1"), "dead");
  assert.equal(network.statusOf("vm-0", "vm-3"), "alive");
  network.isPartitioned = () => false;
  const tookMs = network.runUntil(() => network.hasConverged(), 60_000);
  assert.notEqual(tookMs, undefined);
});

test("all VMs are replaced one by one, then all but one at once", () => {
  const network = networkOf(entryVms(8, PLACES), { seed: 6 });
  let list = entryVms(8, PLACES);
  network.run(3000);
  for (let index = 0; index < 8; index++) {
    const fresh = entryVm(`new-${index}`, { place: PLACES[index % 3] ?? "" });
    network.kill(`vm-${index}`);
    network.start(fresh, list);
    list = [...list.slice(1), fresh];
    network.run(4000);
  }
  assert.notEqual(
    network.runUntil(() => network.hasConverged(), 60_000),
    undefined,
  );
  for (let index = 1; index < 8; index++) {
    network.kill(`new-${index}`);
    const again = entryVm(`again-${index}`, { place: PLACES[index % 3] ?? "" });
    network.start(again, list);
  }
  assert.notEqual(
    network.runUntil(() => network.hasConverged(), 60_000),
    undefined,
  );
});

test("a VM restarted under its name at another address is found there", () => {
  const vms = entryVms(4, PLACES);
  const network = networkOf(vms, { seed: 7 });
  network.run(3000);
  network.kill("vm-1");
  network.start(entryVm("vm-1", { place: "erongo-a", port: 2 }), vms);
  const isFound = (): boolean =>
    ["vm-0", "vm-2", "vm-3"].every((seenBy) => {
      const member = network.stateOf(seenBy).members.get("vm-1");
      return member?.update.peerAddress === "vm-1:2" &&
        member.update.status === "alive";
    });
  assert.notEqual(network.runUntil(isFound, 3000), undefined);
});

test("the VM list never overrides a member that answers", () => {
  const vms = entryVms(4, PLACES);
  const network = networkOf(vms, { seed: 8 });
  network.run(3000);
  const without = vms.filter(({ vm }) => vm !== "vm-1");
  for (const vm of without) {
    network.apply(vm.vm, { kind: "listed", vms: without });
  }
  network.run(60_000);
  assert.equal(network.statusOf("vm-0", "vm-1"), "alive");
  const blamed = network.changes.filter(({ status }) => status !== "alive");
  assert.deepEqual(blamed, []);
});

test("a leaving VM is known as such to all within a few periods", () => {
  const network = networkOf(entryVms(8, PLACES), { seed: 9 });
  network.run(3000);
  network.apply("vm-5", { kind: "status", status: "leaving" });
  const isKnown = (): boolean =>
    ["vm-0", "vm-1", "vm-7"].every((seenBy) =>
      network.statusOf(seenBy, "vm-5") === "leaving"
    );
  const tookMs = network.runUntil(isKnown, 10_000);
  assert.notEqual(tookMs, undefined);
  network.run(20_000);
  assert.equal(network.statusOf("vm-0", "vm-5"), "leaving");
});

test("a VM whose own word is out of date is told what is held of it", () => {
  const vms = entryVms(64, PLACES);
  const context = { nowMs: 0, random: seededRandom(11) };
  const listed = { kind: "listed", vms } as const;
  const start = createMembership(entryVm("self"), { nowMs: 0 });
  const { state } = applyMembership(start, listed, context);
  const { vm, place, address } = entryVm("vm-40");
  const from: MemberUpdate = {
    vm,
    place,
    address,
    peerAddress: "vm-40:2",
    incarnation: 0,
    status: "alive",
  };
  const message = {
    kind: "probe",
    sequence: 1,
    from,
    loadShare: 0,
    updates: [],
  } as const;
  const event = { kind: "message", message } as const;
  const ack = applyMembership(state, event, context).effects[0];
  assert.ok(ack?.kind === "send" && ack.message.kind === "ack");
  assert.equal(ack.message.updates[0]?.peerAddress, "vm-40:1");
});
