/** Tests of the versions that sessions run on during a roll-out. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { serverOf } from "../../decision/manifest_fixture.ts";
import { applyRoster, EMPTY_ROSTER } from "../../decision/mod.ts";
import { type BackendServer, silentLogger } from "../../model/mod.ts";
import { BackendFleet } from "../servers/backend_fleet.ts";
import { type VersionSession } from "../forwarding/forward_context.ts";
import { RolloutRegistry } from "./rollout_registry.ts";

const SERVICE = "drafting";
const DURATION_MS = 24_000;
const CANARY_SHARE = 0.15;
const SLACK_COUNT = 30;
/** How long sessions wait for servers of other versions that have left. */
const HOLD_MS = 10_000;
/** From here on sessions may run on the target. */
const SECOND_HALF_MS = DURATION_MS / 2;

function sessionOf(fields: Partial<VersionSession>): VersionSession {
  return {
    key: "session",
    isMultiRequest: true,
    failedVersion: undefined,
    allowsPlace: undefined,
    ...fields,
  };
}

interface Setup {
  readonly registry: RolloutRegistry;
  readonly clock: { nowMs: number };
  readonly evacuated: Set<string>;
  /** How old the known orders are. */
  readonly orders: { ageMs: number };
  readonly register: (servers: readonly BackendServer[]) => void;
  /** The version of a session's next request. */
  readonly versionOf: (session: string) => string | undefined;
}

function setUp(): Setup {
  const clock = { nowMs: 0 };
  const evacuated = new Set<string>();
  const orders = { ageMs: 0 };
  const fleet = new BackendFleet({ clock: () => clock.nowMs });
  const registry = new RolloutRegistry({
    fleet,
    canaryShare: CANARY_SHARE,
    canarySlackCount: SLACK_COUNT,
    vm: "vm-1",
    vmCount: () => 1,
    ordersAgeMs: () => orders.ageMs,
    isEvacuated: (place) => evacuated.has(place),
    clock: () => clock.nowMs,
    logger: silentLogger,
  });
  const register = (servers: readonly BackendServer[]): void => {
    const records = servers.map((server, offset) => ({
      id: server.id,
      server,
      offset,
    }));
    fleet.update(applyRoster(EMPTY_ROSTER, { kind: "changed", records }, 0));
    registry.recordVersions([SERVICE]);
  };
  const versionOf = (session: string): string | undefined => {
    const { accepts } = registry.acceptorOf(
      SERVICE,
      sessionOf({ key: session }),
    );
    return ["v1", "v2"].find(accepts);
  };
  return { registry, clock, evacuated, orders, register, versionOf };
}

const OLD = [serverOf("a"), serverOf("b")];
const BOTH = [
  ...OLD,
  serverOf("c", { version: "v2" }),
  serverOf("d", { version: "v2" }),
];

function order(registry: RolloutRegistry, isNew = true): void {
  const target = "v2";
  registry.applyOrder(
    { service: SERVICE, target, durationMs: DURATION_MS, offset: 4 },
    isNew,
  );
}

function targetCount(setup: Setup, prefix: string, count = 400): number {
  let onTarget = 0;
  for (let index = 0; index < count; index++) {
    if (setup.versionOf(`${prefix}-${index}`) === "v2") onTarget += 1;
  }
  return onTarget;
}

test("a version that appears before its order gets no requests", () => {
  const setup = setUp();
  setup.register(OLD);
  setup.clock.nowMs = 10_000;
  setup.register(BOTH);
  assert.equal(targetCount(setup, "session"), 0);
});

// Guards against PINNED: a VM that learns of servers, but not of their order.
test("a version waits as long as its order may be unknown", () => {
  const setup = setUp();
  setup.register(OLD);
  setup.clock.nowMs = 10_000;
  setup.register(BOTH);
  setup.clock.nowMs = 20_000;
  for (
    const [ageMs, versions] of [[9000, ["v1"]], [0, ["v1", "v2"]]] as const
  ) {
    setup.orders.ageMs = ageMs;
    const { accepts } = setup.registry.acceptorOf(SERVICE, sessionOf({}));
    assert.deepEqual(["v1", "v2"].filter(accepts), versions);
  }
});

test("a session that began before the order keeps its version in the first half", () => {
  const setup = setUp();
  setup.register(OLD);
  for (let index = 0; index < 400; index++) setup.versionOf(`s-${index}`);
  order(setup.registry);
  setup.register(BOTH);
  for (const nowMs of [1000, 4000, 7000, 11_000]) {
    setup.clock.nowMs = nowMs;
    assert.equal(targetCount(setup, "s"), 0);
  }
});

test("from the second half on the canary share of sessions runs on the target and stays there", () => {
  const setup = setUp();
  setup.register(BOTH);
  order(setup.registry);
  for (const nowMs of [2000, 11_999]) {
    setup.clock.nowMs = nowMs;
    assert.equal(targetCount(setup, "new"), 0);
  }
  setup.clock.nowMs = SECOND_HALF_MS;
  const onTarget = targetCount(setup, "new");
  assert.ok(onTarget > 5 && onTarget < 400 * CANARY_SHARE, `${onTarget}`);
  const canaries = [...Array(400).keys()].map((index) => `new-${index}`)
    .filter((session) => setup.versionOf(session) === "v2");
  for (const nowMs of [13_000, 16_000, 20_000, 23_000]) {
    setup.clock.nowMs = nowMs;
    for (const session of canaries) {
      assert.equal(setup.versionOf(session), "v2");
    }
  }
});

test("requests of no session take the places of sessions that keep their version", () => {
  const setup = setUp();
  setup.register(BOTH);
  order(setup.registry);
  setup.clock.nowMs = 2000;
  const loneTargetCount = (prefix: string): number => {
    let count = 0;
    for (let index = 0; index < 400; index++) {
      const key = `${prefix}-${index}`;
      const session = sessionOf({ key, isMultiRequest: false });
      if (setup.registry.acceptorOf(SERVICE, session).accepts("v2")) count += 1;
    }
    return count;
  };
  const usualCount = loneTargetCount("lone");
  assert.equal(targetCount(setup, "new"), 0);
  const filledCount = loneTargetCount("lone");
  assert.equal(loneTargetCount("lone"), usualCount);
  setup.clock.nowMs = SECOND_HALF_MS;
  // Each of the sessions that would have run on the target left one place.
  assert.equal(filledCount - usualCount, targetCount(setup, "new"));
  assert.ok(filledCount > usualCount);
});

test("some requests of no session join the load trial, sessions do not", () => {
  const setup = setUp();
  setup.register(BOTH);
  order(setup.registry);
  setup.clock.nowMs = DURATION_MS / 2;
  const canaryCount = targetCount(setup, "new");
  let count = 0;
  for (let index = 0; index < 400; index++) {
    const session = sessionOf({ key: `new-${index}`, isMultiRequest: false });
    if (setup.registry.acceptorOf(SERVICE, session).accepts("v2")) count += 1;
  }
  assert.ok(canaryCount < 400 * CANARY_SHARE, `${canaryCount}`);
  assert.ok(count >= canaryCount + SLACK_COUNT / 2, `${count}`);
  assert.ok(count <= 400 * CANARY_SHARE + SLACK_COUNT, `${count}`);
  assert.equal(setup.registry.loadTrialOf(SERVICE)?.version, "v2");
});

test("all VMs choose the same version for a new session", () => {
  const [first, second] = [setUp(), setUp()];
  for (const setup of [first, second]) {
    setup.register(BOTH);
    order(setup.registry);
  }
  for (const nowMs of [3000, SECOND_HALF_MS, 18_000]) {
    first.clock.nowMs = nowMs;
    second.clock.nowMs = nowMs;
    for (let index = 0; index < 200; index++) {
      const session = `shared-${index}`;
      assert.equal(first.versionOf(session), second.versionOf(session));
    }
  }
});

test("a VM that starts during a roll-out avoids the target until its stage is read", () => {
  const setup = setUp();
  setup.register(BOTH);
  order(setup.registry, false);
  assert.equal(targetCount(setup, "session"), 0);
  setup.registry.applyStatus({
    service: SERVICE,
    target: "v2",
    stage: "completed",
    orderOffset: 4,
  });
  assert.equal(targetCount(setup, "session"), 400);
});

test("a bad version immediately gets no further requests, also from other VMs", () => {
  const setup = setUp();
  setup.register(BOTH);
  order(setup.registry);
  for (let index = 0; index < 20; index++) {
    setup.registry.record({
      service: SERVICE,
      version: "v1",
      backendId: "a",
      route: "drafts",
      isError: false,
      firstByteMs: 100,
      distanceMs: 0,
      isBusy: false,
    });
  }
  for (const backendId of ["c", "c", "d"]) {
    setup.registry.record({
      service: SERVICE,
      version: "v2",
      backendId,
      route: "drafts",
      isError: true,
      firstByteMs: 100,
      distanceMs: 0,
      isBusy: false,
    });
  }
  setup.clock.nowMs = 20_000;
  setup.registry.evaluate();
  assert.equal(targetCount(setup, "session"), 0);
  const fault = setup.registry.rollouts.get(SERVICE)?.fault;
  assert.ok(fault !== undefined);

  const other = setUp();
  other.register(BOTH);
  order(other.registry);
  other.clock.nowMs = 20_000;
  other.registry.applyReport({
    service: SERVICE,
    orderOffset: 4,
    ageMs: 20_000,
    fault,
    stage: null,
    isStageKnown: true,
    tallies: [],
  }, { nowMs: 20_000, sender: "vm-9" });
  assert.equal(targetCount(other, "session"), 0);
});

// Guards against PINNED: sessions on the target while other servers are back soon.
test("a target without other versions serves unless it is bad", () => {
  const setup = setUp();
  setup.register(BOTH);
  order(setup.registry);
  const draining = OLD.map((server) => ({
    ...server,
    status: "draining" as const,
  }));
  const lone = sessionOf({ isMultiRequest: false });
  for (const servers of [[...draining, ...BOTH.slice(2)], BOTH.slice(2)]) {
    setup.register(servers);
    assert.ok(setup.registry.acceptorOf(SERVICE, lone).accepts("v2"));
    assert.equal(setup.versionOf("any"), "v1");
    setup.clock.nowMs += HOLD_MS - 1;
    assert.equal(setup.versionOf("any"), "v1");
  }
  setup.clock.nowMs += 2;
  assert.equal(setup.versionOf("any"), "v2");
  setup.registry.applyStatus({
    service: SERVICE,
    target: "v2",
    stage: "reverted",
    orderOffset: 4,
  });
  assert.notEqual(setup.versionOf("any"), "v2");
});

// Guards against PINNED: sessions that go back while a good target is away.
test("sessions wait for an open roll-out's target, others don't", () => {
  const setup = setUp();
  setup.register(BOTH);
  order(setup.registry);
  setup.clock.nowMs = SECOND_HALF_MS;
  const onTarget = targetCount(setup, "s");
  assert.ok(onTarget > 0);
  setup.register(OLD);
  assert.equal(targetCount(setup, "s"), onTarget);
  const lone = sessionOf({ isMultiRequest: false });
  assert.ok(setup.registry.acceptorOf(SERVICE, lone).accepts("v1"));
  // Then a version without an order may take the place of the target.
  const completed = { service: SERVICE, target: "v2", orderOffset: 4 };
  setup.registry.applyStatus({ ...completed, stage: "completed" });
  assert.equal(targetCount(setup, "s"), 0);
});

test("a target serves sessions at once where no other version was", () => {
  const { registry, register } = setUp();
  register([...OLD, serverOf("e", { version: "v2", place: "erongo-a" })]);
  order(registry);
  const allowsPlace = (place: string): boolean => place === "erongo-a";
  const { accepts } = registry.acceptorOf(SERVICE, sessionOf({ allowsPlace }));
  assert.ok(accepts("v2"));
});

test("a request that failed on the target is retried on the previous version", () => {
  const setup = setUp();
  setup.register(BOTH);
  order(setup.registry);
  const single = { isMultiRequest: false };
  const keys = Array.from({ length: 400 }, (_, index) => `request-${index}`);
  const onTarget = keys.filter((key) =>
    setup.registry.acceptorOf(SERVICE, sessionOf({ ...single, key }))
      .accepts("v2")
  );
  assert.ok(onTarget.length > 0);
  for (const key of onTarget) {
    const failed = { ...single, key, failedVersion: "v2" };
    const { accepts } = setup.registry.acceptorOf(
      SERVICE,
      sessionOf(failed),
    );
    assert.deepEqual(["v1", "v2"].filter(accepts), ["v1"]);
  }
  // A session of several requests keeps its version after a failed one.
  setup.clock.nowMs = SECOND_HALF_MS;
  for (const key of onTarget) {
    const session = sessionOf({ key, failedVersion: "v2" });
    const inSession = setup.registry.acceptorOf(SERVICE, session);
    assert.deepEqual(["v1", "v2"].filter(inSession.accepts), ["v2"]);
  }
});

test("a target found bad receives no retries of running requests", () => {
  const setup = setUp();
  setup.register(BOTH);
  order(setup.registry);
  setup.clock.nowMs = SECOND_HALF_MS;
  const keys = Array.from({ length: 400 }, (_, index) => `session-${index}`);
  const accepting = keys
    .map((key) => setup.registry.acceptorOf(SERVICE, sessionOf({ key })))
    .filter(({ accepts }) => accepts("v2"));
  assert.ok(accepting.length > 0);
  setup.registry.applyStatus({
    service: SERVICE,
    target: "v2",
    stage: "reverted",
    orderOffset: 4,
  });
  for (const { accepts } of accepting) {
    assert.deepEqual(["v1", "v2"].filter(accepts), ["v1"]);
  }
});

test("a target found bad as its roll-out completes is used where it is left", () => {
  const setup = setUp();
  setup.register(BOTH);
  order(setup.registry);
  const report = {
    service: SERVICE,
    orderOffset: 4,
    ageMs: 21_500,
    isStageKnown: true,
    tallies: [],
  };
  const options = { nowMs: 21_500, sender: "vm-2" };
  const fault = "all routes: 6 answers several times slower";
  setup.registry.applyReport({ ...report, fault, stage: null }, options);
  assert.equal(targetCount(setup, "session"), 0);
  const completed = { ...report, fault: null, stage: "completed" } as const;
  setup.registry.applyReport(completed, options);
  setup.register(BOTH.filter(({ version }) => version === "v2"));
  assert.equal(targetCount(setup, "session"), 400);
  // Another VM that found the fault may not know yet that it is completed.
  setup.registry.applyReport({ ...report, fault, stage: null }, options);
  assert.equal(targetCount(setup, "other"), 400);
});

// Guards against a version that no server in the request's regions has, which
// would refuse the request.
test("a version counts as ready only where the request may go", () => {
  const { registry, clock, register } = setUp();
  const inErongo = { place: "erongo-a" };
  register([...OLD, serverOf("e", inErongo)]);
  order(registry);
  clock.nowMs = DURATION_MS;
  const completed = { service: SERVICE, target: "v2", orderOffset: 4 } as const;
  registry.applyStatus({ ...completed, stage: "completed" });
  const versionIn = (place: string): string | undefined => {
    const session = sessionOf({ allowsPlace: (other) => other === place });
    return ["v1", "v2"].find(
      registry.acceptorOf(SERVICE, session).accepts,
    );
  };
  register([...BOTH, serverOf("e", inErongo)]);
  assert.equal(versionIn("khomas-a"), "v2");
  assert.equal(versionIn("erongo-a"), "v1");
});

test("a version without an order waits only where an older one is ready", () => {
  const { registry, clock, register } = setUp();
  register(OLD);
  clock.nowMs = 1000;
  register([...OLD, serverOf("e", { place: "erongo-a", version: "v2" })]);
  const acceptsIn = (place: string): boolean => {
    const session = sessionOf({ allowsPlace: (other) => other === place });
    return registry.acceptorOf(SERVICE, session).accepts("v2");
  };
  assert.equal(acceptsIn("khomas-a"), false);
  assert.equal(acceptsIn("erongo-a"), true);
});

// Guards against sessions of a roll-out's target that are refused while servers
// of the other version are open, and against more requests for the target.
test("an evacuation takes a target away, and never raises its share", () => {
  const { registry, clock, evacuated, register, versionOf } = setUp();
  register([
    serverOf("a", { version: "v1", place: "khomas-a" }),
    serverOf("b", { version: "v2", place: "khomas-b" }),
  ]);
  const order = { service: SERVICE, target: "v2", durationMs: DURATION_MS };
  registry.applyOrder({ ...order, offset: 1 }, true);
  clock.nowMs = SECOND_HALF_MS;
  const countOnTarget = (): number =>
    Array.from({ length: 1000 }, (_, index) => versionOf(`session-${index}`))
      .filter((version) => version === "v2").length;
  const usualCount = countOnTarget();
  assert.ok(usualCount > 0);
  evacuated.add("khomas-b");
  assert.equal(countOnTarget(), 0);
  evacuated.clear();
  evacuated.add("khomas-a");
  assert.equal(countOnTarget(), usualCount);
});

// Guards against LOST: requests that arrived before the last phase went on to the
// stopping servers of the old version for as long as they ran.
test("a request that arrived before the last phase may run on the target in it", () => {
  const setup = setUp();
  setup.register(BOTH);
  order(setup.registry);
  const early = setup.registry.acceptorOf(SERVICE, sessionOf({}));
  assert.deepEqual(["v1", "v2"].filter(early.accepts), ["v1"]);
  setup.clock.nowMs = DURATION_MS * 0.99;
  assert.deepEqual(["v1", "v2"].filter(early.accepts), ["v2"]);
  setup.registry.applyStatus({
    service: SERVICE,
    target: "v2",
    stage: "reverted",
    orderOffset: 4,
  });
  assert.deepEqual(["v1", "v2"].filter(early.accepts), ["v1"]);
});
