/** Tests of orders to engines: leases, late orders and lost replies. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createSettings,
  createTreeRecord,
} from "../decision/version_fixture.ts";
import {
  noMetrics,
  type Settings,
  silentLogger,
  type VersionName,
} from "../model/mod.ts";
import { MemoryJournal, MemoryLog } from "../client/memory_journal.ts";
import { type Controller } from "./controller_set.ts";
import { engineRows, FakeEngine, FakeEngineControl } from "./engine_fixture.ts";
import { createFleetController } from "./fleet_controller.ts";
import { LeaseKeeper } from "./lease_keeper.ts";

const TTL_MS = 10_000;
const ORDER_TIMEOUT_MS = 2000;

interface Process {
  readonly journal: MemoryJournal;
  readonly control: FakeEngineControl;
  readonly lease: LeaseKeeper;
  run(): Promise<void>;
}

/** Engines, a log and any number of processes with one virtual clock. */
class TestFleet {
  readonly log = new MemoryLog();
  readonly engines = new Map<string, FakeEngine>();
  nowMs = 0;
  #editCount = 0;

  constructor(
    versions: Readonly<Record<string, readonly VersionName[]>>,
    options: { readonly checksFence: boolean },
  ) {
    for (const [name, loaded] of Object.entries(versions)) {
      this.engines.set(name, new FakeEngine(loaded, options));
    }
  }

  edit(changes: Partial<Settings>): void {
    this.#editCount += 1;
    const id = `edit-${this.#editCount}`;
    this.log.push({ ...createTreeRecord(createSettings(changes)), id });
  }

  process(holder: string): Process {
    const journal = new MemoryJournal(this.log);
    const control = new FakeEngineControl(this.engines);
    const clock = (): number => this.nowMs;
    const lease = new LeaseKeeper({
      name: "fleet",
      holder,
      ttlMs: TTL_MS,
      journal,
      clock,
      appendTimeoutMs: 1000,
    });
    const controller: Controller = createFleetController({
      journal,
      clock,
      lease,
      engines: control,
      vms: () => engineRows(this.engines.keys()),
      sizeMbOf: () => Promise.resolve(undefined),
      periodMs: 1000,
      orderTimeoutMs: ORDER_TIMEOUT_MS,
      maxLoading: 2,
    });
    const context = {
      clock,
      logger: silentLogger,
      metrics: noMetrics,
      signal: new AbortController().signal,
    };
    return { journal, control, lease, run: () => controller.run(context) };
  }

  /** Runs a process often enough to acquire the lease and send its orders. */
  async runRepeatedly(process: Process): Promise<void> {
    for (let runIndex = 0; runIndex < 30; runIndex += 1) {
      await process.run();
      this.nowMs += 1000;
    }
  }

  orderCount(): number {
    let count = 0;
    for (const engine of this.engines.values()) count += engine.orders.length;
    return count;
  }

  enginesWith(version: VersionName): string[] {
    return [...this.engines].filter(([, engine]) => engine.loaded.has(version))
      .map(([name]) => name);
  }
}

interface Gate {
  readonly wait: () => Promise<void>;
  readonly open: () => void;
  /** Resolves once `wait` is called. */
  readonly reached: Promise<void>;
}

function createGate(): Gate {
  const opened = createSignal();
  const reached = createSignal();
  return {
    wait: () => {
      reached.resolve();
      return opened.promise;
    },
    open: opened.resolve,
    reached: reached.promise,
  };
}

function createSignal(): { promise: Promise<void>; resolve: () => void } {
  let resolve: () => void = () => {};
  const promise = new Promise<void>((done) => {
    resolve = done;
  });
  return { promise, resolve };
}

const ALL_VERSIONS: readonly VersionName[] = ["small@1", "middle@1", "large@1"];

for (const checksFence of [true, false]) {
  const kind = checksFence
    ? "that check the fence"
    : "that do not check the fence";

  test(`a holder paused past its lease sends no order to engines ${kind}`, async () => {
    const fleet = new TestFleet({ e1: ALL_VERSIONS, e2: [], e3: [] }, {
      checksFence,
    });
    fleet.edit({});
    const first = fleet.process("first");
    await first.run();
    fleet.nowMs += ORDER_TIMEOUT_MS;
    const gate = createGate();
    first.control.afterReport = gate.wait;
    first.journal.isPaused = true;
    const paused = first.run();
    await gate.reached;
    const second = fleet.process("second");
    await second.run();
    assert.equal(second.lease.isValid(), false);
    await fleet.runRepeatedly(second);
    assert.equal(second.lease.isValid(), true);
    const before = fleet.orderCount();
    assert.ok(before > 0);
    gate.open();
    await paused;
    assert.equal(fleet.orderCount(), before);
  });

  test(`a previous holder's late order is corrected on engines ${kind}`, async () => {
    const fleet = new TestFleet({ e1: ALL_VERSIONS, e2: ALL_VERSIONS }, {
      checksFence,
    });
    fleet.edit({ withdrawn: [{ version: "small@1", running: "finish" }] });
    const first = fleet.process("first");
    await first.run();
    fleet.nowMs += ORDER_TIMEOUT_MS;
    await first.run();
    fleet.nowMs += 600_000;
    const gate = createGate();
    first.control.beforeOrder = gate.wait;
    const late = first.run();
    await gate.reached;
    fleet.edit({ withdrawn: [], allowed: [...ALL_VERSIONS, "middle@2"] });
    const second = fleet.process("second");
    await fleet.runRepeatedly(second);
    assert.equal(fleet.enginesWith("middle@2").length, 2);
    gate.open();
    await late;
    assert.equal(fleet.enginesWith("small@1").includes("e1"), checksFence);
    await fleet.runRepeatedly(second);
    assert.deepEqual(fleet.enginesWith("small@1"), ["e1", "e2"]);
  });
}

test("after a lost reply the next report shows the load; no order is repeated", async () => {
  const fleet = new TestFleet({
    e1: ALL_VERSIONS,
    e2: ALL_VERSIONS,
    e3: ["small@1"],
  }, {
    checksFence: true,
  });
  fleet.edit({ allowed: [...ALL_VERSIONS, "middle@2"] });
  const process = fleet.process("first");
  process.control.losesReplies = true;
  await fleet.runRepeatedly(process);
  assert.equal(fleet.enginesWith("middle@2").length, 2);
  assert.equal(fleet.orderCount(), 2);
});

test("a withdrawn version is unloaded after the longest deadline", async () => {
  const fleet = new TestFleet({ e1: ALL_VERSIONS, e2: ALL_VERSIONS }, {
    checksFence: true,
  });
  fleet.edit({});
  const process = fleet.process("first");
  await fleet.runRepeatedly(process);
  fleet.edit({ withdrawn: [{ version: "small@1", running: "finish" }] });
  await fleet.runRepeatedly(process);
  assert.equal(fleet.enginesWith("small@1").length, 2);
  fleet.nowMs += 600_000;
  await fleet.runRepeatedly(process);
  assert.deepEqual(fleet.enginesWith("small@1"), []);
});

test("a version allowed again before its unload order stays on its last engine", async () => {
  const fleet = new TestFleet({ e1: ["middle@1", "small@1"], e2: [] }, {
    checksFence: true,
  });
  fleet.edit({ allowed: [] });
  const process = fleet.process("first");
  await fleet.runRepeatedly(process);
  fleet.nowMs += 600_000;
  process.control.beforeOrder = () => {
    if (fleet.orderCount() === 0) fleet.edit({ allowed: ["small@1"] });
    return Promise.resolve();
  };
  await process.run();
  assert.deepEqual(fleet.enginesWith("middle@1"), []);
  assert.deepEqual(fleet.enginesWith("small@1"), ["e1"]);
});

test("while the log is down the lease expires and nobody acquires it", async () => {
  const fleet = new TestFleet({ e1: ALL_VERSIONS, e2: [] }, {
    checksFence: false,
  });
  fleet.edit({});
  const first = fleet.process("first");
  await first.run();
  fleet.log.mode = "down";
  fleet.nowMs += TTL_MS + 5000;
  await first.run();
  const second = fleet.process("second");
  await second.run();
  assert.equal(first.lease.isValid(), false);
  assert.equal(second.lease.isValid(), false);
  assert.equal(fleet.orderCount(), 0);
});

test("a lease whose append reply is lost lasts from before the append", async () => {
  const fleet = new TestFleet({ e1: ALL_VERSIONS, e2: [] }, {
    checksFence: true,
  });
  fleet.edit({});
  const process = fleet.process("first");
  fleet.log.mode = "reply_lost";
  await process.run();
  assert.equal(process.lease.isValid(), true);
  fleet.nowMs += TTL_MS;
  assert.equal(process.lease.isValid(), false);
});
