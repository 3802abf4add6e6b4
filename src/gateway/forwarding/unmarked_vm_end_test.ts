/**
 * Tests of streams through other VMs that close their connection between two
 * events: a VM of an earlier build passes on how a server ended its answer, and
 * one whose process ends closes its connections as well.
 */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { routeOf, serverOf } from "../../decision/manifest_fixture.ts";
import {
  applyMembership,
  createMembership,
  type MembershipState,
  type MemberStatus,
  type MemberUpdate,
} from "../../decision/mod.ts";
import { LOOPBACK_HOST } from "../../model/loopback_fixture.ts";
import { type ServiceRoute } from "../../model/mod.ts";
import { eventsOf, startBackend } from "../servers/backend_fixture.ts";
import { CallerExchange } from "../callers/caller_exchange.ts";
import { type ForwardContext } from "./forward_context.ts";
import { forwardContextOf } from "./forward_context_fixture.ts";
import { Forwarding } from "./forwarding.ts";
import { call, testProtocol } from "../gateway_fixture.ts";
import {
  play,
  type StreamRun,
  type UnmarkedResult,
  WHOLE_RUN,
} from "./unmarked_end_fixture.ts";
import { RetryBudget } from "./retry_budget.ts";
import { VmRelays } from "./vm_relays.ts";

const WHOLE = { status: 200, body: eventsOf(1, 6), isComplete: true };
const PART = { status: 200, body: eventsOf(1, 3) };
const SELF = { vm: "vm-0", place: "khomas-a", address: "", peerAddress: "" };
const STEP = { random: () => 0.5, nowMs: 0 };

/** Sends a stream through other VMs, whose runs are given. */
async function sendThroughVms(
  context: TestContext,
  { runs, route, status }: {
    readonly runs: readonly StreamRun[];
    readonly route?: Partial<ServiceRoute>;
    /** What is known of the first VM as it ends its answer. */
    readonly status?: MemberStatus;
  },
): Promise<UnmarkedResult> {
  let membership = createMembership(SELF, STEP);
  const lastIds: (string | undefined)[] = [];
  const know = (from: MemberUpdate): void => {
    const event = { kind: "met", from } as const;
    membership = applyMembership(membership, event, STEP).state;
  };
  for (const vm of ["vm-1", "vm-2", "vm-3"]) {
    const backend = await startBackend(vm, (request, response) => {
      const run = runs[lastIds.length] ?? WHOLE_RUN;
      lastIds.push(request.headers["test-last"]?.toString());
      const { stopListening } = backend;
      if (status !== undefined) know({ ...member, status });
      play(run, { request, response, stopListening });
    });
    context.after(() => backend.close());
    const { address } = backend.server;
    const member = {
      ...SELF,
      vm,
      address,
      incarnation: 0,
      status: "alive",
    } as const;
    know(member);
  }
  const address = await startForwarding(context, {
    route: routeOf(route),
    membership: () => membership,
  });
  const answer = await call(address, { headers: { "test-id": "one" } });
  const { status: answered, body, isComplete } = answer;
  return { status: answered, body, isComplete, runs: lastIds };
}

/** Forwards each request as a VM that reaches no server; returns its address. */
async function startForwarding(
  test: TestContext,
  { route, membership }: {
    readonly route: ServiceRoute;
    readonly membership: () => MembershipState;
  },
): Promise<string> {
  const startedAtMs = performance.now();
  const clock = {
    get nowMs() {
      return 20_000 + performance.now() - startedAtMs;
    },
  };
  const server = serverOf("one");
  const { context } = forwardContextOf([server], clock);
  context.reach.recordUnreached(server.id);
  const { place } = SELF;
  const relays = new VmRelays({
    place,
    places: [{ place, region: "khomas" }],
    membership,
    clock: context.clock,
    random: context.random,
  });
  const budget = new RetryBudget({
    fleetBound: { ratio: 5, slackCount: 20, windowMs: 10_000 },
    clock: context.clock,
    vmCount: () => 3,
  });
  const http = createServer((request, response) => {
    forward({ ...context, relays, budget }, route, {
      caller: testProtocol.readRequest({
        method: request.method ?? "",
        target: request.url ?? "",
        rawHeaders: request.rawHeaders,
      }),
      exchange: new CallerExchange(request, response, {
        ...testProtocol,
        readTimeoutMs: () => 1000,
      }),
    });
  });
  await new Promise<void>((resolve) => http.listen(0, LOOPBACK_HOST, resolve));
  test.after(() => http.close());
  const { port } = http.address() as AddressInfo;
  return `${LOOPBACK_HOST}:${port}`;
}

function forward(
  context: ForwardContext,
  route: ServiceRoute,
  { caller, exchange }: {
    readonly caller: ReturnType<typeof testProtocol.readRequest>;
    readonly exchange: CallerExchange;
  },
): void {
  assert.ok(typeof caller !== "string");
  const request = {
    caller,
    route,
    service: "drafting",
    workspace: undefined,
    manifestVersion: 1,
    permittedRegions: undefined,
    callerRegion: undefined,
    body: Buffer.alloc(0),
    digest: "digest",
    receivedAtMs: context.clock(),
  };
  new Forwarding(context, request, exchange).start();
}

// Guards against ORDER: a VM that sent a stream on closed between two events,
// and its part was given to the caller as the whole.
for (const end of ["closed", "gone"] as const) {
  test(`a resumable stream that another VM closes goes on: ${end}`, async (context) => {
    const result = await sendThroughVms(context, {
      runs: [{ lastId: 3, end }],
      route: { maxAttempts: 6 },
    });
    assert.deepEqual(result, { ...WHOLE, runs: [undefined, "3", "6"] });
  });
}

// Guards against ORDER: the same of a stream that may run once.
test("a stream that may run once is cut as the VM that sends it on ends", async (context) => {
  const result = await sendThroughVms(context, {
    runs: [{ lastId: 3, end: "gone" }],
    route: { isResumable: false },
  });
  const cut = { ...PART, isComplete: false };
  assert.deepEqual(result, { ...cut, runs: [undefined] });
});

test("a stream that may run once is complete if the VM that sends it on lives", async (context) => {
  const result = await sendThroughVms(context, {
    runs: [{ lastId: 3, end: "closed" }],
    route: { isResumable: false },
  });
  const whole = { ...PART, isComplete: true };
  assert.deepEqual(result, { ...whole, runs: [undefined] });
});

for (const status of ["leaving", "left"] as const) {
  // Guards against LOST: the last streams through a VM that leaves were cut.
  test(`a VM that leaves may end the last stream it sends on: ${status}`, async (context) => {
    const result = await sendThroughVms(context, {
      runs: [{ lastId: 3, end: "closed" }],
      route: { isResumable: false },
      status,
    });
    const whole = { ...PART, isComplete: true };
    assert.deepEqual(result, { ...whole, runs: [undefined] });
  });

  // Guards against ORDER: the same of a VM whose process ends as it leaves.
  test(`a stream through a VM that ends as it leaves is cut: ${status}`, async (context) => {
    const result = await sendThroughVms(context, {
      runs: [{ lastId: 3, end: "gone" }],
      route: { isResumable: false },
      status,
    });
    const cut = { ...PART, isComplete: false };
    assert.deepEqual(result, { ...cut, runs: [undefined] });
  });
}
