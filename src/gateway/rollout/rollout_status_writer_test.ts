/** Tests of which VM writes a roll-out's status, and how often. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, type Result } from "neverthrow";
import { type RolloutStatus, silentLogger } from "../../model/mod.ts";
import { BackendFleet } from "../servers/backend_fleet.ts";
import { RolloutRegistry } from "./rollout_registry.ts";
import { RolloutStatusWriter } from "./rollout_status_writer.ts";
import { type StoreFault, type StoreRecord } from "../store/store_record.ts";

/** An in-memory status topic with conditional appends. */
class StatusStore {
  readonly statuses: RolloutStatus[] = [];
  failure: StoreFault | undefined;

  append(
    status: RolloutStatus,
    offset: number,
  ): Promise<Result<number, StoreFault>> {
    if (this.failure !== undefined) return Promise.resolve(err(this.failure));
    if (offset !== this.statuses.length) {
      const fault: StoreFault = { kind: "conflict", message: "grown" };
      return Promise.resolve(err(fault));
    }
    this.statuses.push(status);
    return Promise.resolve(ok(this.statuses.length));
  }
}

interface Vm {
  readonly registry: RolloutRegistry;
  readonly writer: RolloutStatusWriter;
}

function vmOf(
  store: StatusStore,
  clock: { nowMs: number },
  rank: number | undefined,
): Vm {
  const fleet = new BackendFleet({ clock: () => clock.nowMs });
  const registry = new RolloutRegistry({
    fleet,
    canaryShare: 0.15,
    canarySlackCount: 0,
    vm: "vm-1",
    vmCount: () => 1,
    clock: () => clock.nowMs,
    logger: silentLogger,
  });
  const records = (): StoreRecord[] =>
    store.statuses.map(({ service, stage }, offset) => ({
      key: service,
      value: Buffer.from(stage),
      offset,
    }));
  const writer = new RolloutStatusWriter({
    registry,
    topic: {
      list: () =>
        Promise.resolve(
          ok({ records: records(), nextOffset: store.statuses.length }),
        ),
      readAfter: (offset) =>
        Promise.resolve(ok({
          records: records().slice(offset),
          nextOffset: store.statuses.length,
        })),
    },
    readStatus: ({ offset }) => store.statuses[offset],
    appendStatus: (status, offset) => store.append(status, offset),
    rank: () => rank,
    clock: () => clock.nowMs,
    logger: silentLogger,
  });
  registry.applyOrder(
    { service: "drafting", target: "v2", durationMs: 24_000, offset: 4 },
    true,
  );
  return { registry, writer };
}

function stagesOf({ statuses }: StatusStore): string[] {
  return statuses.map(({ stage }) => stage);
}

test("the first store reader writes active, and completed once nothing else runs", async () => {
  const [store, clock] = [new StatusStore(), { nowMs: 0 }];
  const { writer } = vmOf(store, clock, 0);
  await writer.writeDue();
  clock.nowMs = 23_300;
  await writer.writeDue();
  await writer.writeDue();
  assert.deepEqual(stagesOf(store), ["active", "completed"]);
});

test("the second store reader writes only when a status is overdue", async () => {
  const [store, clock] = [new StatusStore(), { nowMs: 0 }];
  const { writer } = vmOf(store, clock, 1);
  await writer.writeDue();
  assert.deepEqual(stagesOf(store), []);
  clock.nowMs = 1500;
  await writer.writeDue();
  assert.deepEqual(stagesOf(store), ["active"]);
});

test("a VM that is not a store reader never writes", async () => {
  const [store, clock] = [new StatusStore(), { nowMs: 0 }];
  const { writer } = vmOf(store, clock, undefined);
  await writer.writeDue();
  clock.nowMs = 23_500;
  await writer.writeDue();
  assert.deepEqual(stagesOf(store), []);
});

test("two VMs that both have the first rank write one final status", async () => {
  const [store, clock] = [new StatusStore(), { nowMs: 23_300 }];
  const [first, second] = [vmOf(store, clock, 0), vmOf(store, clock, 0)];
  for (const { registry } of [first, second]) {
    const rollout = registry.rollouts.get("drafting");
    assert.ok(rollout !== undefined);
    rollout.startedAtMs = 0;
  }
  const bad = second.registry.rollouts.get("drafting");
  assert.ok(bad !== undefined);
  bad.fault = "3 of 7 failed";
  for (let turn = 0; turn < 4; turn++) {
    await Promise.all([first.writer.writeDue(), second.writer.writeDue()]);
    clock.nowMs += 500;
  }
  const ends = stagesOf(store).filter((stage) => stage !== "active");
  assert.equal(ends.length, 1);
});

test("a failed append is retried until the store has the status", async () => {
  const [store, clock] = [new StatusStore(), { nowMs: 0 }];
  const { writer, registry } = vmOf(store, clock, 0);
  const rollout = registry.rollouts.get("drafting");
  assert.ok(rollout !== undefined);
  rollout.fault = "slow";
  store.failure = { kind: "unknown", message: "no answer" };
  await writer.writeDue();
  assert.deepEqual(stagesOf(store), []);
  store.failure = undefined;
  clock.nowMs = 1000;
  await writer.writeDue();
  assert.deepEqual(stagesOf(store), ["reverted"]);
});

test("a fault found while the statuses are read stops the completion", async () => {
  const store = new StatusStore();
  const clock = { nowMs: 0 };
  const { registry, writer } = vmOf(store, clock, 0);
  await writer.writeDue();
  clock.nowMs = 23_500;
  const writing = writer.writeDue();
  const rollout = registry.rollouts.get("drafting");
  assert.ok(rollout);
  rollout.fault = "all routes: 3 of 3 failed";
  await writing;
  await writer.writeDue();
  assert.deepEqual(stagesOf(store), ["active", "reverted"]);
});

// Guards against the end of an order that was replaced: a VM that woke from a
// freeze wrote it.
test("no status is written of an order that is replaced while statuses are read", async () => {
  const [store, clock] = [new StatusStore(), { nowMs: 0 }];
  const { registry, writer } = vmOf(store, clock, 0);
  clock.nowMs = 23_300;
  const written = writer.writeDue();
  registry.applyOrder(
    { service: "drafting", target: "v3", durationMs: 24_000, offset: 9 },
    true,
  );
  await written;
  assert.deepEqual(stagesOf(store), []);
});
