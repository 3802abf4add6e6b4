/** Tests of reports and of the registry beside many roll-outs. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { silentLogger } from "../../model/mod.ts";
import { encodePeerUpdate, parsePeerUpdate } from "../peers/peer_update.ts";
import { BackendFleet } from "../servers/backend_fleet.ts";
import { RolloutRegistry } from "./rollout_registry.ts";
import { createRolloutReports } from "./rollout_report.ts";

const clock = (): number => 1000;

function registryOf(isNamed?: (service: string) => boolean): RolloutRegistry {
  return new RolloutRegistry({
    fleet: new BackendFleet({ clock }),
    ...isNamed === undefined ? {} : { isNamed },
    canaryShare: 0.15,
    canarySlackCount: 0,
    vm: "vm-1",
    vmCount: () => 1,
    clock,
    logger: silentLogger,
  });
}

function order(registry: RolloutRegistry, service: string, at: number): void {
  const rollout = { service, target: "v2", durationMs: 24_000, offset: at };
  registry.applyOrder(rollout, true);
}

// Guards against VMs that learn nothing of each other any more, as they refuse
// updates with more roll-outs than a message may have.
test("an update names the open and the newest of many roll-outs", () => {
  const registry = registryOf();
  for (let index = 0; index < 200; index++) {
    order(registry, `service-${index}`, index);
  }
  for (const [service, { position }] of registry.rollouts) {
    if (position < 2) continue;
    registry.applyStatus({
      service,
      target: "v2",
      stage: "completed",
      orderOffset: position,
    });
  }
  const sent = encodePeerUpdate({
    teller: "vm-1",
    have: { operators: 1, servers: null },
    topics: {},
    rollouts: createRolloutReports(registry, {
      instance: "vm-1#a",
      nowMs: clock(),
      isSenderReader: true,
      isReceiverReader: true,
    }),
    loads: [],
    limits: [],
    cold: [],
    brittle: [],
    leaving: [],
    crashes: [],
    survived: [],
  });
  const named = parsePeerUpdate(sent)?.rollouts.map(({ service }) => service);
  assert.deepEqual(named?.slice(0, 3), [
    "service-1",
    "service-0",
    "service-199",
  ]);
});

test("roll-outs of services that no manifest names leave room for others", () => {
  const registry = registryOf((service) => service === "drafting");
  for (let index = 0; index < 5000; index++) {
    order(registry, `service-${index}`, index);
  }
  order(registry, "drafting", 5000);
  assert.ok(registry.rollouts.has("drafting"));
  assert.ok(registry.rollouts.size <= 256);
});
