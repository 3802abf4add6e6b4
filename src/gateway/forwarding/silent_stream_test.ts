/** Tests of streams whose server is silent for a while but at work. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import {
  type BackendHandler,
  beginStream,
  eventsOf,
  startBackend,
  type TestBackend,
} from "../servers/backend_fixture.ts";
import {
  call,
  startGateway,
  type TestGateway,
  untilReady,
} from "../gateway_fixture.ts";

const ROUTE = routeOf({ gapTargetMs: 200, timeoutMs: 5000 });
/** Longer than a server may be silent if another one is reached. */
const PAUSE_MS = 900;
const EVENT_COUNT = 6;
/** So short that a new server is known before a stream counts as silent. */
const DRAIN_MS = 250;

/** Pauses a new stream after its first events; ends a resumed one at once. */
const pauseOnce: BackendHandler = (request, response) => {
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
    manifest: { routes: [ROUTE] },
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
  // Earns the retries that a stream needs to leave its server.
  const first = await Promise.all(
    ["a", "b"].map((id) =>
      call(gateway.callerAddress, { headers: { "test-id": id } })
    ),
  );
  assert.ok(first.every(({ isComplete }) => isComplete));
  const startedAtMs = performance.now();
  const answer = call(gateway.callerAddress, {});
  register(next, ...await startStopped(1));
  const { body, isComplete } = await answer;
  assert.equal(body, eventsOf(1, EVENT_COUNT));
  assert.ok(isComplete);
  assert.equal(next.requestIds.length, 1);
  assert.ok(performance.now() - startedAtMs < PAUSE_MS);
});
