/** Tests of membership under loss, crashes, pauses, partitions, replacement. */
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

test("all VMs declare a crashed VM dead, and no other VM", () => {
  const vms = entryVms(8, PLACES);
  const network = networkOf(vms, { seed: 1, delayMs: 12 });
  network.run(5000);
  network.kill("vm-3");
  const tookMs = network.runUntil(() => network.hasConverged(), 30_000);
  assert.notEqual(tookMs, undefined);
  network.run(30_000);
  const dead = new Set(
    network.changes.filter(({ status }) => status === "dead")
      .map(({ vm }) => vm),
  );
  assert.deepEqual([...dead], ["vm-3"]);
});

test("at 5% message loss no VM is declared dead and few are suspected", () => {
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

test("indirect probes clear a VM that one peer cannot reach", () => {
  const network = networkOf(entryVms(8, PLACES), { seed: 3 });
  network.run(2000);
  network.isPartitioned = (from, to) =>
    [from, to].includes("vm-0") && [from, to].includes("vm-1");
  network.run(120_000);
  const suspected = network.changes.filter(({ status }) =>
    status === "suspect"
  );
  assert.deepEqual(suspected, []);
});

test("a resumed VM refutes its death and suspects no other VM", () => {
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
  const suspected = network.changes.filter(({ observer, status }) =>
    observer === "vm-2" && (status === "suspect" || status === "dead")
  );
  assert.deepEqual(suspected, []);
});

test("a VM resumed in the middle of a probe suspects no other VM", () => {
  const network = networkOf(entryVms(8, PLACES), { seed: 10, delayMs: 200 });
  network.run(5000);
  const PHASES = 10;
  for (let phase = 0; phase < PHASES; phase++) {
    network.run(1000 + phase * 100);
    network.pause("vm-2");
    network.run(3000);
    network.resume("vm-2");
  }
  const suspected = network.changes.filter(({ observer, status }) =>
    observer === "vm-2" && status === "suspect"
  );
  assert.deepEqual(suspected, []);
});

test("regions rejoin after a partition of an hour", () => {
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
    const replacement = entryVm(`new-${index}`, {
      place: PLACES[index % 3] ?? "",
    });
    network.kill(`vm-${index}`);
    network.start(replacement, list);
    list = [...list.slice(1), replacement];
    network.run(4000);
  }
  assert.notEqual(
    network.runUntil(() => network.hasConverged(), 60_000),
    undefined,
  );
  for (let index = 1; index < 8; index++) {
    network.kill(`new-${index}`);
    const restarted = entryVm(`again-${index}`, {
      place: PLACES[index % 3] ?? "",
    });
    network.start(restarted, list);
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
    ["vm-0", "vm-2", "vm-3"].every((observer) => {
      const member = network.stateOf(observer).members.get("vm-1");
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
  const suspected = network.changes.filter(({ status }) => status !== "alive");
  assert.deepEqual(suspected, []);
});

test("the leaving status of a VM reaches the others within a few periods", () => {
  const network = networkOf(entryVms(8, PLACES), { seed: 9 });
  network.run(3000);
  network.apply("vm-5", { kind: "status", status: "leaving" });
  const isReported = (): boolean =>
    ["vm-0", "vm-1", "vm-7"].every((observer) =>
      network.statusOf(observer, "vm-5") === "leaving"
    );
  const tookMs = network.runUntil(isReported, 10_000);
  assert.notEqual(tookMs, undefined);
  network.run(20_000);
  assert.equal(network.statusOf("vm-0", "vm-5"), "leaving");
});

test("a VM that sends an outdated update of itself is corrected", () => {
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
