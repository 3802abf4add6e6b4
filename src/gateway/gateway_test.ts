/** Tests of gateways: readiness, updates between VMs, and shutdown. */
import assert from "node:assert/strict";
import { request } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { routeOf } from "../decision/manifest_fixture.ts";
import {
  type BackendHandler,
  sendCompleteAnswer,
  startBackend,
  type TestBackend,
} from "./servers/backend_fixture.ts";
import {
  API_HOST,
  call,
  LOOKUP_ROUTE,
  REGISTER_ROUTE,
  startGateway,
  type TestGateway,
  untilReady,
} from "./gateway_fixture.ts";
import { MemoryTopic } from "./store/memory_topic_fixture.ts";
import { until } from "./until_fixture.ts";

const MANIFEST = { routes: [LOOKUP_ROUTE] };

async function backendOf(
  context: TestContext,
  handler: BackendHandler = sendCompleteAnswer,
): Promise<TestBackend> {
  const backend = await startBackend("server", handler);
  context.after(() => backend.close());
  return backend;
}

function endWith(context: TestContext, ...gateways: TestGateway[]): void {
  context.after(async () => {
    await Promise.all(gateways.map(({ gateway }) => gateway.stop()));
  });
}

test("a VM without a manifest refuses with a retry-after header", async (context) => {
  const operators = new MemoryTopic();
  operators.isDown = true;
  const gateway = await startGateway({ operators });
  endWith(context, gateway);
  assert.equal(gateway.gateway.isReady(), false);
  const answer = await call(gateway.callerAddress, { path: "/lookups/a" });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers["retry-after"]) > 0);
});

test("a VM that the store refuses receives its state from another VM", async (context) => {
  const backend = await backendOf(context);
  const first = await startGateway({
    backends: [backend],
    manifest: MANIFEST,
  });
  await untilReady(first);
  const [operators, servers] = [new MemoryTopic(), new MemoryTopic()];
  operators.isDown = true;
  servers.isDown = true;
  const second = await startGateway({
    vm: "vm-2",
    operators,
    servers,
    seeds: [first.peerAddress],
  });
  endWith(context, first, second);
  await untilReady(second);
  const answer = await call(second.callerAddress, { path: "/lookups/a" });
  assert.equal(answer.body, "whole");

  // A manifest without the route also comes into force on the second VM.
  const routes = [routeOf({ routePrefix: "/elsewhere/" })];
  first.operators.put("manifest", {
    ...MANIFEST,
    version: 9,
    services: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    routes,
  });
  const refusedAt = async (): Promise<number> =>
    (await call(second.callerAddress, { path: "/lookups/a" })).status;
  const endMs = performance.now() + 2500;
  while (await refusedAt() !== 404) {
    assert.ok(performance.now() < endMs, "manifest not in force in time");
    await delay(50);
  }
});

test("an older manifest changes nothing", async (context) => {
  const backend = await backendOf(context);
  const gateway = await startGateway({
    backends: [backend],
    manifest: { ...MANIFEST, version: 5 },
  });
  endWith(context, gateway);
  await untilReady(gateway);
  gateway.operators.put("manifest", { version: 4, routes: [] });
  await delay(300);
  const answer = await call(gateway.callerAddress, { path: "/lookups/a" });
  assert.equal(answer.status, 200);
});

test("a draining server gets no new work while its connections are open", async (context) => {
  const backend = await backendOf(context);
  const gateway = await startGateway({
    backends: [backend],
    manifest: MANIFEST,
  });
  endWith(context, gateway);
  await untilReady(gateway);
  const draining = { ...backend.server, status: "draining" };
  gateway.servers.put(backend.server.id, draining);
  await delay(1200);
  const answer = await call(gateway.callerAddress, { path: "/lookups/a" });
  assert.equal(answer.status, 503);
  assert.equal(backend.requestIds.length, 0);
});

test("a stopping VM is not advertised, goes on serving, then refuses", async (context) => {
  const backend = await backendOf(context);
  const gateway = await startGateway({
    backends: [backend],
    manifest: MANIFEST,
    settings: { graceMs: 4000, entryMaxAgeMs: 200 },
  });
  await untilReady(gateway);
  const { callerAddress } = gateway;
  const addresses = (): string[] =>
    gateway.gateway.entryAddresses({ place: "khomas-a" });
  assert.deepEqual(addresses(), [callerAddress]);
  const stopped = gateway.gateway.stop();
  await until(() => addresses().length === 0);
  assert.equal(gateway.gateway.isReady(), false);
  const served = await call(callerAddress, { path: "/lookups/a" });
  assert.equal(served.status, 200);
  assert.equal(served.headers["connection"], "close");
  await stopped;
  await assert.rejects(call(callerAddress, { path: "/lookups/a" }));
});

test("a running request is finished before a VM stops", async (context) => {
  const backend = await backendOf(context, (request, response) => {
    setTimeout(() => sendCompleteAnswer(request, response), 1200);
  });
  const gateway = await startGateway({
    backends: [backend],
    manifest: { routes: [{ ...LOOKUP_ROUTE, maxAttempts: 1 }] },
    settings: { graceMs: 5000 },
  });
  await untilReady(gateway);
  const sent = call(gateway.callerAddress, { path: "/lookups/a" });
  await delay(50);
  await gateway.gateway.stop();
  const answer = await sent;
  assert.equal(answer.body, "whole");
  assert.ok(answer.isComplete);
});

// Guards against LOST: a request that no server has answered at the end of the
// grace period lost its connection without an answer.
test("a request without an answer at the end of the grace period is refused", async (context) => {
  const backend = await backendOf(context, () => {});
  const gateway = await startGateway({
    backends: [backend],
    manifest: { routes: [{ ...LOOKUP_ROUTE, timeoutMs: 30_000 }] },
    settings: { graceMs: 1500 },
  });
  await untilReady(gateway);
  const sent = call(gateway.callerAddress, { path: "/lookups/a" });
  await delay(50);
  await gateway.gateway.stop();
  const answer = await sent;
  assert.equal(answer.status, 502);
  assert.ok(answer.isComplete);
});

// Guards against LOST: a second SIGTERM ended a stopping VM at once.
test("a second stop of a VM waits for the requests of the first", async (context) => {
  const backend = await backendOf(context, (request, response) => {
    setTimeout(() => sendCompleteAnswer(request, response), 800);
  });
  const gateway = await startGateway({
    backends: [backend],
    manifest: { routes: [{ ...LOOKUP_ROUTE, maxAttempts: 1 }] },
    settings: { graceMs: 5000 },
  });
  await untilReady(gateway);
  let isAnswered = false;
  const sent = call(gateway.callerAddress, { path: "/lookups/a" })
    .then(() => isAnswered = true);
  await delay(50);
  const first = gateway.gateway.stop();
  await gateway.gateway.stop();
  assert.ok(isAnswered);
  await Promise.all([first, sent]);
});

// Guards against LOST: a request whose body arrived after the window was sent
// to a server and cut when the VM ended.
test("a request whose body arrives after a VM began to refuse is refused", async (context) => {
  const backend = await backendOf(context);
  const gateway = await startGateway({
    backends: [backend],
    manifest: { routes: [REGISTER_ROUTE] },
    settings: { graceMs: 3000, entryMaxAgeMs: 50 },
  });
  await untilReady(gateway);
  const status = new Promise<number>((resolve, reject) => {
    const sent = request(`http://${gateway.callerAddress}/registrations/a`, {
      method: "POST",
      headers: {
        "host": API_HOST,
        "test-id": "late-body",
        "test-key": "a-key",
        "content-length": "4",
      },
    });
    sent.on("error", reject);
    sent.on("response", (response) => resolve(response.statusCode ?? 0));
    sent.write("bo");
    setTimeout(() => sent.end("dy"), 800);
  });
  await delay(50);
  await gateway.gateway.stop();
  assert.equal(await status, 503);
  assert.equal(backend.requestIds.length, 0);
});
