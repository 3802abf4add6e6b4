/** Tests of sessions that go on at another VM during a roll-out. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { serverOf } from "../decision/manifest_fixture.ts";
import { silentLogger } from "../model/mod.ts";
import { forwardContextOf } from "./forward_context_fixture.ts";
import { RolloutRegistry } from "./rollout_registry.ts";
import { createRolloutReports } from "./rollout_report.ts";

const SERVICE = "drafting";
const SESSION_COUNT = 400;

interface Vm {
  readonly registry: RolloutRegistry;
  readonly versionOf: (session: string) => string | undefined;
}

/** A VM that knows of an order, but not of its stage. */
function vmOf(vm: string, clock: { nowMs: number }): Vm {
  const servers = [serverOf("a"), serverOf("b", { version: "v2" })];
  const { context } = forwardContextOf(servers, clock);
  const registry = new RolloutRegistry({
    fleet: context.fleet,
    canaryShare: 0.15,
    canarySlackCount: 30,
    vm,
    vmCount: () => 2,
    sessionMs: 5000,
    clock: context.clock,
    logger: silentLogger,
  });
  registry.recordVersions([SERVICE]);
  registry.applyOrder(
    { service: SERVICE, target: "v2", durationMs: 24_000, offset: 4 },
    false,
  );
  const versionOf = (session: string): string | undefined => {
    const accepts = registry.acceptorOf(SERVICE, {
      key: session,
      isMultiRequest: true,
      failedVersion: undefined,
    });
    return ["v1", "v2"].find(accepts);
  };
  return { registry, versionOf };
}

// Guards against PINNED: a VM takes a session that goes on there for a new one.
test("a session keeps its version in the first half at whatever VM it goes on", () => {
  const clock = { nowMs: 0 };
  const [first, second] = [vmOf("vm-1", clock), vmOf("vm-2", clock)];
  for (const { versionOf } of [first, second]) {
    assert.ok(versionOf("before") !== "v2");
  }
  for (let index = 0; index < SESSION_COUNT; index++) {
    first.versionOf(`s-${index}`);
  }
  clock.nowMs = 2000;
  for (const { registry } of [first, second]) {
    const rollout = registry.rollouts.get(SERVICE);
    assert.ok(rollout !== undefined);
    rollout.isStageKnown = true;
  }
  const [report] = createRolloutReports(first.registry, {
    instance: "vm-1",
    nowMs: 2000,
    isSenderReader: true,
    isReceiverReader: true,
  });
  assert.ok(report !== undefined);
  second.registry.applyReport(report, { nowMs: 2000, sender: "vm-1" });
  clock.nowMs = 3000;
  let changedCount = 0;
  for (let index = 0; index < SESSION_COUNT; index++) {
    if (second.versionOf(`s-${index}`) === "v2") changedCount += 1;
  }
  assert.equal(changedCount, 0);
});
