/** Tests of what is believed of an answer that comes through another VM. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  type BackendHandler,
  startBackend,
} from "../servers/backend_fixture.ts";
import { startLinks } from "../servers/server_link_fixture.ts";
import {
  call,
  type CallerAnswer,
  LOOKUP_ROUTE,
  REGISTER_ROUTE,
  startGateway,
  untilReady,
} from "../gateway_fixture.ts";
import { MemoryTopic } from "../store/memory_topic_fixture.ts";
import { until } from "../until_fixture.ts";

const VM_COUNT = 3;
const PATH = "/registrations/a";

interface RelayedCall {
  readonly answer: CallerAnswer;
  /** How often servers got the request. */
  readonly runCount: number;
}

/** Sends a request to a VM that reaches servers only through other VMs. */
async function callThroughVm(
  context: TestContext,
  handler: BackendHandler,
): Promise<RelayedCall> {
  const backends = await Promise.all(
    ["a", "b", "c"].map((id) => startBackend(id, handler)),
  );
  const links = await startLinks(backends.map(({ server }) => server));
  const topics = { operators: new MemoryTopic(), servers: new MemoryTopic() };
  const first = await startGateway({
    ...topics,
    backends,
    manifest: { routes: [REGISTER_ROUTE] },
    linked: links.linked,
  });
  const vms = [first];
  for (let index = 2; index <= VM_COUNT; index++) {
    const seeds = [first.peerAddress];
    vms.push(await startGateway({ ...topics, vm: `vm-${index}`, seeds }));
  }
  context.after(async () => {
    await Promise.all(vms.map(({ gateway }) => gateway.stop()));
    await links.close();
    await Promise.all(backends.map((backend) => backend.close()));
  });
  for (const vm of vms) await untilReady(vm);
  await until(() =>
    first.gateway.entryAddresses({ place: undefined }).length === VM_COUNT
  );
  await links.cut("reset");
  // The VM finds that it reaches no server.
  await call(first.callerAddress, { path: PATH });
  const headers = { "test-id": "relayed-one" };
  const answer = await call(first.callerAddress, { path: PATH, headers });
  const ids = backends.flatMap(({ requestIds }) => requestIds);
  const runCount = ids.filter((id) => id === "relayed-one").length;
  return { answer, runCount };
}

// Guards against TWICE: a server's unsigned 4xx was taken for the refusal of
// the VM through which it came, and the request was sent again.
test("an unsigned 4xx of a server that comes through another VM is passed on", async (context) => {
  const { answer, runCount } = await callThroughVm(
    context,
    ({ headers }, response) => {
      response.writeHead(409, { "test-id": String(headers["test-id"]) }).end();
    },
  );
  assert.deepEqual([answer.status, runCount], [409, 1]);
});

// Guards against TWICE: the same of an answer that may be another sender's, and
// of one that claims to be a VM's refusal.
for (const status of [404, 503]) {
  test(`an unsigned ${status} without an id through another VM is no refusal`, async (context) => {
    const { answer, runCount } = await callThroughVm(
      context,
      (_, response) => {
        response.writeHead(status, { "test-refused": "1" }).end();
      },
    );
    assert.deepEqual([answer.status, runCount], [502, 1]);
  });
}

test("a VM marks its refusals of requests that another VM sent on", async (context) => {
  const { gateway, callerAddress } = await startGateway({
    manifest: { routes: [REGISTER_ROUTE] },
  });
  context.after(() => gateway.stop());
  await until(() => gateway.isReady());
  const refusals = [
    { path: "/elsewhere", status: 404 },
    { path: PATH, status: 503 },
  ];
  for (const { path, status } of refusals) {
    const relayed = await call(callerAddress, {
      path,
      headers: { "test-relayed": "1" },
    });
    const own = await call(callerAddress, { path });
    assert.deepEqual([relayed.status, own.status], [status, status]);
    assert.equal(relayed.headers["test-refused"], "1");
    assert.equal(own.headers["test-refused"], undefined);
  }
});

// Guards against BUDGET: a request that comes through another VM counted twice
// as a request, and so allowed the retries of two.
test("requests that come through another VM allow it no retries", async (context) => {
  const backends = await Promise.all(
    ["a", "b"].map((id) =>
      startBackend(id, (_, response) => void response.writeHead(500).end())
    ),
  );
  const vm = await startGateway({
    backends,
    manifest: { routes: [LOOKUP_ROUTE] },
    settings: { retryBound: { ratio: 1, slackCount: 0, windowMs: 10_000 } },
  });
  context.after(async () => {
    await vm.gateway.stop();
    await Promise.all(backends.map((backend) => backend.close()));
  });
  await untilReady(vm);
  const arrivalCount = (): number =>
    backends.reduce((sum, { requestIds }) => sum + requestIds.length, 0);
  const headers = { "test-relayed": "1" };
  for (let index = 0; index < 10; index++) {
    await call(vm.callerAddress, { path: "/lookups/a", headers });
  }
  assert.equal(arrivalCount(), 10);
  for (let index = 0; index < 10; index++) {
    await call(vm.callerAddress, { path: "/lookups/a" });
  }
  assert.ok(arrivalCount() > 20, `${arrivalCount()}`);
});
