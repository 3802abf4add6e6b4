/** Tests of the slow starts that a VM knows, and of the choice of a server. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { routeOf, serverOf } from "../../decision/manifest_fixture.ts";
import { applyRoster, EMPTY_ROSTER, type Roster } from "../../decision/mod.ts";
import {
  type BackendServer,
  type Logger,
  silentLogger,
} from "../../model/mod.ts";
import {
  type BackendHandler,
  sendCompleteAnswer,
  startBackend,
} from "./backend_fixture.ts";
import { forwardContextOf } from "../forwarding/forward_context_fixture.ts";
import {
  type ForwardContext,
  type ForwardRequest,
  type LoadTrial,
} from "../forwarding/forward_context.ts";
import { testProtocol } from "../gateway_fixture.ts";
import { chooseServer } from "./server_choice.ts";
import { ServerAttempt } from "./server_attempt.ts";
import { SlowStarts } from "./slow_starts.ts";

const SETTLED_MS = 3000;
const OTHER = serverOf("server-0");

interface TestVm {
  readonly slowStarts: SlowStarts;
  readonly clock: { nowMs: number };
  readonly lines: string[];
  readonly inFlight: { count: number };
}

function rosterOf(servers: readonly BackendServer[]): Roster {
  const records = servers.map((server) => ({
    id: server.id,
    server,
    offset: 1,
  }));
  return applyRoster(EMPTY_ROSTER, { kind: "changed", records }, 0);
}

function entriesOf(servers: readonly BackendServer[]): Roster["entries"] {
  return rosterOf(servers).entries;
}

/** A VM that has served with one server for long enough. */
function servingVm(
  clock = { nowMs: 10_000 },
  { vmCount = 1, isBrittle = false } = {},
): TestVm {
  const lines: string[] = [];
  const info: Logger["info"] = (event, fields) => {
    lines.push(`${event} ${fields?.server}`);
  };
  const inFlight = { count: 0 };
  const slowStarts = new SlowStarts({
    self: { vm: "vm-0" },
    otherVms: () =>
      Array.from({ length: vmCount - 1 }, (_, index) => ({
        vm: `vm-${index + 1}`,
      })),
    fleet: {
      inFlightCountOf: () => inFlight.count,
      meanServiceTimeMs: () => 50,
      meanHoldMs: () => 0,
    },
    evacuationEndedMsAgo: () => undefined,
    isBrittle: () => isBrittle,
    clock: () => clock.nowMs,
    logger: { ...silentLogger, info },
  });
  slowStarts.observe(entriesOf([OTHER]));
  clock.nowMs += SETTLED_MS;
  return { slowStarts, clock, lines, inFlight };
}

function ramping(vm: TestVm, server = serverOf("server-1")): BackendServer {
  vm.slowStarts.observe(entriesOf([OTHER, server]));
  return server;
}

/** Sends a request to a server that answers after the time. */
function answerAfter(
  { slowStarts, clock }: TestVm,
  server: BackendServer,
  answerMs: number,
): void {
  slowStarts.countRequest(server);
  clock.nowMs += answerMs;
  slowStarts.recordAnswer(server, { answerMs, prefillMs: 0, isError: false });
}

test("a server that starts while a VM serves begins slowly, and ends in time", () => {
  const vm = servingVm();
  const server = ramping(vm);
  assert.equal(vm.slowStarts.perSecondOf(server), 4);
  assert.equal(vm.slowStarts.perSecondOf(OTHER), undefined);
  assert.equal(vm.slowStarts.activeCount, 1);
  vm.clock.nowMs += 10_000;
  vm.slowStarts.observe(entriesOf([OTHER, server]));
  assert.equal(vm.slowStarts.activeCount, 0);
  assert.deepEqual(vm.lines, [
    "server ramping up server-1",
    "server up to speed server-1",
  ]);
});

test("a VM that has just started limits no server", () => {
  const vm = servingVm();
  vm.clock.nowMs -= 1;
  const server = ramping(vm);
  assert.equal(vm.slowStarts.perSecondOf(server), undefined);
});

test("another start of the process counts, an entry that lapsed does not", () => {
  const vm = servingVm();
  vm.slowStarts.observe(entriesOf([]));
  vm.clock.nowMs += 1000;
  vm.slowStarts.observe(entriesOf([OTHER]));
  assert.equal(vm.slowStarts.perSecondOf(OTHER), undefined);
  const restarted = { ...OTHER, processStartedAtMs: 99 };
  vm.slowStarts.preferOpen([{ server: restarted, isSuspect: false }]);
  assert.equal(vm.slowStarts.perSecondOf(restarted), 4);
});

test("a server recovers slowly when its breaker closes again", () => {
  const vm = servingVm();
  const end = { event: "success", sentAtMs: 0 } as const;
  vm.slowStarts.recordEnd(OTHER, { ...end, isProbe: false });
  assert.equal(vm.slowStarts.perSecondOf(OTHER), undefined);
  vm.slowStarts.recordEnd(OTHER, { ...end, isProbe: true });
  assert.equal(vm.slowStarts.perSecondOf(OTHER), 4);
});

test("the servers of a brittle service keep their permits instead", () => {
  const vm = servingVm(undefined, { isBrittle: true });
  assert.equal(vm.slowStarts.perSecondOf(ramping(vm)), undefined);
});

test("answers in time raise the rate, late ones and refusals lower it", () => {
  const vm = servingVm();
  vm.slowStarts.recordAnswer(OTHER, {
    answerMs: 50,
    prefillMs: 0,
    isError: false,
  });
  const server = ramping(vm);
  const rates: (number | undefined)[] = [];
  for (const answerMs of [60, 60, 900]) {
    vm.clock.nowMs += 400;
    answerAfter(vm, server, answerMs);
    rates.push(vm.slowStarts.perSecondOf(server));
  }
  vm.slowStarts.recordEnd(server, {
    event: "full",
    sentAtMs: vm.clock.nowMs,
    isProbe: false,
  });
  rates.push(vm.slowStarts.perSecondOf(server));
  assert.deepEqual(rates, [8, 16, 8, 4]);
});

test("requests in flight are limited where answers are slow", () => {
  const vm = servingVm();
  const server = ramping(vm);
  assert.equal(vm.slowStarts.isAtLimit(server), false);
  vm.inFlight.count = 1;
  assert.equal(vm.slowStarts.isAtLimit(server), true);
});

test("servers at their limit come after open ones and before suspect ones", () => {
  const vm = servingVm();
  const server = ramping(vm);
  vm.inFlight.count = 1;
  const [open, atLimit, suspect] = [
    { server: OTHER, isSuspect: false },
    { server, isSuspect: false },
    { server: serverOf("server-2"), isSuspect: true },
  ];
  const preferred = vm.slowStarts.preferOpen([open, atLimit, suspect]);
  assert.ok(preferred.includes(open) && !preferred.includes(atLimit));
  // The choice itself prefers servers that are not suspect.
  assert.ok(vm.slowStarts.preferOpen([atLimit, suspect]).includes(atLimit));
});

test("a VM learns of raises and setbacks of other VMs", () => {
  const clock = { nowMs: 10_000 };
  const [first, second] = [servingVm(clock), servingVm(clock)];
  const server = ramping(first);
  ramping(second);
  clock.nowMs += 400;
  answerAfter(first, server, 50);
  const news = first.slowStarts.toShare({ maxHopCount: 0 });
  second.slowStarts.merge(news);
  assert.equal(second.slowStarts.perSecondOf(server), 8);
  assert.deepEqual(second.slowStarts.toShare({ maxHopCount: 0 }), []);
  assert.equal(second.slowStarts.toShare({ maxHopCount: 1 }).length, 1);
  for (const end of ["broken", "broken"] as const) {
    first.slowStarts.recordEnd(server, {
      event: end,
      sentAtMs: clock.nowMs,
      isProbe: false,
    });
  }
  second.slowStarts.merge(first.slowStarts.toShare({ maxHopCount: 0 }));
  assert.equal(second.slowStarts.perSecondOf(server), 4);
});

test("news of another start, or from before an outage, change nothing", () => {
  const vm = servingVm();
  const server = ramping(vm);
  const news = {
    id: server.id,
    processStartedAtMs: server.processStartedAtMs,
    raiseCount: 3,
    setbackCount: 0,
    ageMs: 100,
    hopCount: 0,
  };
  vm.slowStarts.merge([{ ...news, processStartedAtMs: 77 }]);
  assert.equal(vm.slowStarts.perSecondOf(server), 4);
  vm.slowStarts.merge([{ ...news, id: "server-9" }]);
  const outage = { event: "down", sentAtMs: vm.clock.nowMs } as const;
  vm.slowStarts.recordEnd(server, { ...outage, isProbe: false });
  const probe = { event: "success", sentAtMs: vm.clock.nowMs } as const;
  vm.slowStarts.recordEnd(server, { ...probe, isProbe: true });
  vm.slowStarts.merge([news]);
  assert.equal(vm.slowStarts.perSecondOf(server), 4);
  vm.clock.nowMs += 200;
  vm.slowStarts.merge([news]);
  assert.equal(vm.slowStarts.perSecondOf(server), 32);
});

function requestOf(): ForwardRequest {
  const caller = testProtocol.readRequest({
    method: "GET",
    target: "/lookups/one",
    rawHeaders: ["test-id", "request-1"],
  });
  assert.ok(typeof caller !== "string");
  return {
    caller: { ...caller, promptTokens: 0 },
    route: routeOf({}),
    service: OTHER.service,
    workspace: undefined,
    manifestVersion: 1,
    permittedRegions: undefined,
    callerRegion: undefined,
    body: Buffer.alloc(0),
    digest: "digest",
    receivedAtMs: 10_000,
  };
}

/** A VM that has served for long enough when the server starts again. */
function contextWithRestart(
  before: BackendServer,
): {
  readonly context: ForwardContext;
  readonly clock: { nowMs: number };
  readonly server: BackendServer;
} {
  const { context, clock } = forwardContextOf([OTHER, before]);
  clock.nowMs += SETTLED_MS;
  const server = { ...before, processStartedAtMs: 99 };
  const roster = rosterOf([OTHER, server]);
  context.fleet.update(roster);
  context.slowStarts.observe(roster.entries);
  return { context, clock, server };
}

/** The ids of the servers chosen for requests that stay in flight. */
function chosenIds(
  context: ForwardContext,
  triedIds: readonly string[] = [],
): string[] {
  return Array.from({ length: 12 }, () => {
    const chosen = chooseServer(context, requestOf(), {
      acceptsVersion: () => true,
      triedIds: new Set(triedIds),
      model: undefined,
      isRetriable: true,
    });
    assert.ok(chosen);
    context.slowStarts.countRequest(chosen.server);
    context.fleet.trackRequest(chosen.server);
    return chosen.id;
  });
}

test("a request goes to a server at its limit only if there is no other", () => {
  const { context, server } = contextWithRestart(serverOf("server-1"));
  const ids = chosenIds(context);
  assert.equal(ids.filter((id) => id === server.id).length, 1);
  assert.ok(chosenIds(context, [OTHER.id]).every((id) => id === server.id));
});

test("the load trial of a roll-out keeps its own rule", () => {
  const { context, server } = contextWithRestart(
    serverOf("server-1", { version: "v2" }),
  );
  const loadTrialOf = (): LoadTrial => ({ version: "v2", failingIds: [] });
  const versions = { ...context.versions, loadTrialOf };
  const ids = chosenIds({ ...context, versions });
  assert.ok(ids.every((id) => id === server.id));
});

test("servers of a data centre whose evacuation has ended begin slowly", () => {
  const { context, clock } = forwardContextOf([OTHER, serverOf("server-1")]);
  clock.nowMs += SETTLED_MS;
  const fact = { era: 0, writtenEra: 0 };
  const { evacuations, slowStarts } = context;
  evacuations.record(OTHER.place, { ...fact, isOrdered: true, offset: 1 });
  evacuations.record(OTHER.place, { ...fact, isOrdered: false, offset: 2 });
  chosenIds(context);
  assert.equal(slowStarts.activeCount, 2);
  clock.nowMs += 10_000;
  chosenIds(context);
  assert.equal(slowStarts.activeCount, 0);
});

/** Sends one request to a server by a real connection, until its end. */
async function attempt(
  context: ForwardContext,
  server: BackendServer,
): Promise<void> {
  const caller = testProtocol.readRequest({
    method: "POST",
    target: "/drafts/one",
    rawHeaders: ["test-id", "request-1"],
  });
  assert.ok(typeof caller !== "string");
  await new Promise((resolve) => {
    new ServerAttempt({
      memory: context.answerMemory.open("drafts"),
      onWait: () => false,
      context,
      server,
      route: "drafts",
      digest: "digest",
      body: Buffer.alloc(0),
      request: {
        caller,
        backend: server,
        workspace: undefined,
        deadlineLeftMs: 2000,
        model: undefined,
        lastEventId: undefined,
        priority: 0,
      },
      isStreaming: false,
      onHead: () => "relay",
      onData: () => {},
      onOutcome: resolve,
      onException: assert.fail,
    });
  });
}

async function attemptsAt(
  test: TestContext,
  handler: BackendHandler,
): Promise<{ readonly send: () => Promise<number | undefined> }> {
  const backend = await startBackend("server-1", handler);
  test.after(() => backend.close());
  const { context, clock, server } = contextWithRestart(backend.server);
  return {
    send: async () => {
      clock.nowMs += 450;
      await attempt(context, server);
      return context.slowStarts.perSecondOf(server);
    },
  };
}

test("answers and refusals at a server's connection change its rate", async (context) => {
  let isFull = false;
  const { send } = await attemptsAt(context, (request, response) => {
    if (!isFull) return sendCompleteAnswer(request, response);
    response.writeHead(503, {
      "test-id": String(request.headers["test-id"]),
      "test-not-run": "1",
      "content-length": "0",
    });
    response.end();
  });
  assert.equal(await send(), 8);
  assert.equal(await send(), 16);
  isFull = true;
  assert.equal(await send(), 8);
});

test("a connection that breaks off lowers the rate, and an outage begins anew", async (context) => {
  let isBroken = false;
  const { send } = await attemptsAt(context, (request, response) => {
    if (isBroken) return request.socket.destroy();
    sendCompleteAnswer(request, response);
  });
  for (const perSecond of [8, 16, 32]) assert.equal(await send(), perSecond);
  isBroken = true;
  assert.equal(await send(), 8);
  for (let count = 0; count < 3; count++) await send();
  isBroken = false;
  assert.equal(await send(), 4);
});
