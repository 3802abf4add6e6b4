/**
 * Tests of a VM whose event loop is held up while its servers answer: its timers
 * then come before the answers are read.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  call,
  LOOKUP_ROUTE,
  REGISTER_ROUTE,
  startGateway,
  type TestGateway,
  untilReady,
} from "./gateway_fixture.ts";
import { holdUpAfter } from "./hold_up_fixture.ts";
import {
  BackendExchange,
  type ExchangeFault,
} from "./servers/backend_exchange.ts";
import {
  sendCompleteAnswer,
  startBackend,
  type TestBackend,
} from "./servers/backend_fixture.ts";
import { until } from "./until_fixture.ts";

const TIMEOUT_MS = 600;
const GRACE_MS = 3000;
/** Longer than the time that silent servers have. */
const SILENT_MS = 2500;

/** Starts a VM with two servers; it is held up as one of them answers. */
async function startHeldUp(
  context: TestContext,
  { heldUpMs, timeoutMs }: {
    readonly heldUpMs: number;
    readonly timeoutMs: number;
  },
): Promise<{ gateway: TestGateway; backends: readonly TestBackend[] }> {
  const backends = await Promise.all(
    ["a", "b"].map((id) =>
      startBackend(id, (request, response) => {
        void holdUpAfter(() => sendCompleteAnswer(request, response), heldUpMs);
      })
    ),
  );
  const routes = [REGISTER_ROUTE, LOOKUP_ROUTE]
    .map((route) => ({ ...route, timeoutMs }));
  const gateway = await startGateway({
    backends,
    manifest: { routes },
    settings: { graceMs: GRACE_MS },
  });
  await untilReady(gateway);
  context.after(async () => {
    await gateway.gateway.stop();
    await Promise.all(backends.map((backend) => backend.close()));
  });
  return { gateway, backends };
}

function arrivalsAt(backends: readonly TestBackend[]): number {
  return backends.flatMap(({ requestIds }) => requestIds).length;
}

// Guards against 504 in place of an answer that is there.
test("an answer that came in time is passed on by a VM that was held up", async (context) => {
  const options = { heldUpMs: 2 * TIMEOUT_MS, timeoutMs: TIMEOUT_MS };
  const { gateway } = await startHeldUp(context, options);
  const { callerAddress } = gateway;
  const answer = await call(callerAddress, { path: "/registrations/a" });
  assert.equal(answer.status, 200);
});

// Guards against further runs of requests that have been answered.
test("a server that answered is not left as silent by a VM that was held up", async (context) => {
  const options = { heldUpMs: SILENT_MS, timeoutMs: 2 * SILENT_MS };
  const { gateway, backends } = await startHeldUp(context, options);
  const answer = await call(gateway.callerAddress, { path: "/lookups/a" });
  assert.equal(answer.status, 200);
  assert.equal(arrivalsAt(backends), 1);
});

// Guards against 502 for an answer that is there as the grace period ends.
test("an answer that came in time is passed on by a VM that was held up in its stop", async (context) => {
  const options = { heldUpMs: GRACE_MS, timeoutMs: 2 * GRACE_MS };
  const { gateway, backends } = await startHeldUp(context, options);
  const { callerAddress } = gateway;
  const answer = call(callerAddress, { path: "/registrations/a" });
  void gateway.gateway.stop();
  await until(() => arrivalsAt(backends) === 1);
  assert.equal((await answer).status, 200);
});

// Guards against attempts given up although their connections are open.
test("a connection made in time counts at a VM that was held up", async (context) => {
  const backend = await startBackend("a", sendCompleteAnswer);
  context.after(() => backend.close());
  const faults: ExchangeFault[] = [];
  let isAnswered = false;
  const begin = (): void => {
    new BackendExchange({
      address: backend.server.address,
      method: "POST",
      target: "/lookups/a",
      headers: ["test-id", "a"],
      body: Buffer.alloc(0),
      connectTimeoutMs: TIMEOUT_MS,
    }, {
      onConnected: () => {},
      onHead: () => {},
      onData: () => {},
      onEnd: () => isAnswered = true,
      onFault: (fault) => faults.push(fault),
      onException: (error) => assert.fail(error),
    });
  };
  await holdUpAfter(begin, 2 * TIMEOUT_MS);
  await until(() => isAnswered || faults.length > 0);
  assert.deepEqual(faults, []);
});
