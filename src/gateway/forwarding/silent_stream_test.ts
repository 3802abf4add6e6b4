/** Tests of streams whose server is silent for a while but at work. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { routeOf } from "../../decision/manifest_fixture.ts";
import {
  type BackendHandler,
  beginStream,
  eventsOf,
  sendCompleteAnswer,
  startBackend,
  type TestBackend,
} from "../servers/backend_fixture.ts";
import {
  call,
  LOOKUP_ROUTE,
  startGateway,
  type TestGateway,
  untilReady,
} from "../gateway_fixture.ts";

const ROUTE = routeOf({ gapTargetMs: 200, timeoutMs: 5000 });
/** Longer than a server may be silent if another one is reached. */
const PAUSE_MS = 1500;
const EVENT_COUNT = 6;
/** The id of a call that names none. */
const FIRST_ID = `request-${process.pid}`;
/** So short that a new server is known before a stream counts as silent. */
const DRAIN_MS = 250;

/** Pauses a new stream after its first events; ends a resumed one at once. */
const pauseOnce: BackendHandler = (request, response) => {
  if (request.url?.startsWith("/lookups/")) {
    return sendCompleteAnswer(request, response);
  }
  const last = Number(request.headers["test-last"] ?? 0);
  beginStream(request, response);
  if (last > 0) return void response.end(eventsOf(last + 1, EVENT_COUNT));
  response.write(eventsOf(1, 2));
  setTimeout(() => response.end(eventsOf(3, EVENT_COUNT)), PAUSE_MS);
};

interface Site {
  readonly gateway: TestGateway;
  readonly silent: TestBackend;
  readonly register: (...backends: readonly TestBackend[]) => void;
}

async function startSite(context: TestContext): Promise<Site> {
  const silent = await startBackend("silent", pauseOnce);
  const gateway = await startGateway({
    backends: [silent],
    manifest: { routes: [ROUTE, LOOKUP_ROUTE] },
    settings: { drainMs: DRAIN_MS },
  });
  await untilReady(gateway);
  context.after(async () => {
    await gateway.gateway.stop();
    await silent.close();
  });
  const register = (...backends: readonly TestBackend[]): void => {
    for (const { server } of backends) gateway.servers.put(server.id, server);
  };
  return { gateway, silent, register };
}

/** Starts servers that have stopped without their entries being gone. */
async function startStopped(count: number): Promise<TestBackend[]> {
  const ids = Array.from({ length: count }, (_, index) => `stopped-${index}`);
  const stopped = await Promise.all(
    ids.map((id) => startBackend(id, pauseOnce)),
  );
  await Promise.all(stopped.map((backend) => backend.close()));
  return stopped;
}

/** Sends requests, which earn the retries that a stream needs to go on. */
async function earnRetries({ callerAddress }: TestGateway): Promise<void> {
  for (const id of ["a", "b", "c"]) {
    const { status } = await call(callerAddress, {
      path: "/lookups/a",
      headers: { "test-id": id },
    });
    assert.equal(status, 200);
  }
}

// Guards against LOST: a stream cut for the silence of a server at work, as the
// servers to which it was to go were not reached.
test("a stream stays at its silent server while no other is reached", async (context) => {
  const { gateway, silent, register } = await startSite(context);
  const stopped = await startStopped(6);
  const answer = call(gateway.callerAddress, {});
  register(...stopped);
  const { status, body, isComplete } = await answer;
  assert.deepEqual([status, isComplete], [200, true]);
  assert.equal(body, eventsOf(1, EVENT_COUNT));
  assert.equal(silent.requestIds.length, 1);
});

test("a silent stream goes on at a server that is reached", async (context) => {
  const { gateway, register } = await startSite(context);
  const next = await startBackend("next", pauseOnce);
  context.after(() => next.close());
  await earnRetries(gateway);
  const startedAtMs = performance.now();
  const answer = call(gateway.callerAddress, {});
  register(next, ...await startStopped(1));
  const { body, isComplete } = await answer;
  assert.equal(body, eventsOf(1, EVENT_COUNT));
  assert.ok(isComplete);
  assert.equal(next.requestIds.length, 1);
  assert.ok(performance.now() - startedAtMs < PAUSE_MS);
});

// Guards against a stream that stays at a dead server as no retry was left at the
// moment at which it fell silent.
test("a silent stream goes on once a retry is left", async (context) => {
  const { gateway, register } = await startSite(context);
  const next = await startBackend("next", pauseOnce);
  context.after(() => next.close());
  const startedAtMs = performance.now();
  const answer = call(gateway.callerAddress, {});
  register(next);
  await delay(PAUSE_MS / 2);
  await earnRetries(gateway);
  assert.equal((await answer).body, eventsOf(1, EVENT_COUNT));
  assert.equal(next.requestIds.filter((id) => id === FIRST_ID).length, 1);
  assert.ok(performance.now() - startedAtMs < PAUSE_MS);
});
