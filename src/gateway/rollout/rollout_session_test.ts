/** Tests of sessions that go on at another VM during a roll-out. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { serverOf } from "../../decision/manifest_fixture.ts";
import { silentLogger } from "../../model/mod.ts";
import { forwardContextOf } from "../forwarding/forward_context_fixture.ts";
import { RolloutRegistry } from "./rollout_registry.ts";
import { createRolloutReports } from "./rollout_report.ts";

const SERVICE = "drafting";
const SESSION_COUNT = 400;
const DURATION_MS = 24_000;

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
    clock: context.clock,
    logger: silentLogger,
  });
  registry.recordVersions([SERVICE]);
  registry.applyOrder(
    { service: SERVICE, target: "v2", durationMs: DURATION_MS, offset: 4 },
    false,
  );
  const versionOf = (session: string): string | undefined => {
    const { accepts } = registry.acceptorOf(SERVICE, {
      key: session,
      isMultiRequest: true,
      failedVersion: undefined,
      allowsPlace: undefined,
    });
    return ["v1", "v2"].find(accepts);
  };
  return { registry, versionOf };
}

/** Makes the second VM know what the first one knows. */
function tell(
  first: Vm,
  { second, nowMs }: { readonly second: Vm; readonly nowMs: number },
): void {
  const [report] = createRolloutReports(first.registry, {
    instance: "vm-1",
    nowMs,
    isSenderReader: true,
    isReceiverReader: true,
  });
  assert.ok(report !== undefined);
  second.registry.applyReport(report, { nowMs, sender: "vm-1" });
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
  tell(first, { second, nowMs: 2000 });
  clock.nowMs = 3000;
  let changedCount = 0;
  for (let index = 0; index < SESSION_COUNT; index++) {
    if (second.versionOf(`s-${index}`) === "v2") changedCount += 1;
  }
  assert.equal(changedCount, 0);
});

// Guards against PINNED: a VM keeps a session on the version that it had there.
test("a session on the target stays there in the second half at whatever VM it goes on", () => {
  const clock = { nowMs: 0 };
  const [first, second] = [vmOf("vm-1", clock), vmOf("vm-2", clock)];
  for (const { registry } of [first, second]) {
    const rollout = registry.rollouts.get(SERVICE);
    assert.ok(rollout !== undefined);
    rollout.isStageKnown = true;
  }
  const vms = [first, second];
  const onTarget = new Set<string>();
  for (let nowMs = 0; nowMs <= DURATION_MS; nowMs += 500) {
    clock.nowMs = nowMs;
    for (let index = 0; index < SESSION_COUNT; index++) {
      const session = `s-${index}`;
      const vm = vms[(index + nowMs / 500) % vms.length];
      if (vm?.versionOf(session) === "v2") onTarget.add(session);
      else assert.ok(!onTarget.has(session), `${session} at ${nowMs} ms`);
    }
    if (nowMs < DURATION_MS / 2) assert.equal(onTarget.size, 0);
    else assert.ok(onTarget.size > 0);
  }
  assert.equal(onTarget.size, SESSION_COUNT);
});

// Guards against PINNED: a VM that starts takes its own start for the order's.
test("a VM that starts during a roll-out places sessions as the others do", () => {
  const clock = { nowMs: 0 };
  const first = vmOf("vm-1", clock);
  const rollout = first.registry.rollouts.get(SERVICE);
  assert.ok(rollout !== undefined);
  rollout.isStageKnown = true;
  for (const startMs of [3000, 9000, 14_000]) {
    clock.nowMs = startMs;
    const second = vmOf("vm-2", clock);
    tell(first, { second, nowMs: startMs });
    for (const nowMs of [startMs, 11_999, DURATION_MS / 2, 14_000, 18_000]) {
      if (nowMs < startMs) continue;
      clock.nowMs = nowMs;
      let targetCount = 0;
      for (let index = 0; index < SESSION_COUNT; index++) {
        const version = first.versionOf(`s-${index}`);
        assert.equal(second.versionOf(`s-${index}`), version);
        if (version === "v2") targetCount += 1;
      }
      assert.equal(targetCount > 0, nowMs >= DURATION_MS / 2);
    }
  }
});
