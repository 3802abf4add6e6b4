/** Tests of several VMs before a store that is restored from an older copy. */
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { manifestOf, routeOf } from "../decision/manifest_fixture.ts";
import { seededRandom } from "../decision/membership_fixture.ts";
import {
  sendCompleteAnswer,
  startBackend,
  type TestBackend,
} from "./backend_fixture.ts";
import {
  call,
  LOOKUP_ROUTE,
  startGateway,
  type TestGateway,
  untilReady,
} from "./gateway_fixture.ts";
import { MemoryTopic } from "./memory_topic_fixture.ts";

const SEED = 27;
const VM_COUNT = 3;
/** Time within which a manifest has to be in force on every VM. */
const CONVERGE_MS = 2500;
const POLL_MS = 25;

interface Site {
  readonly operators: MemoryTopic;
  readonly servers: MemoryTopic;
  readonly backend: TestBackend;
  readonly vms: readonly TestGateway[];
}

async function startSite(context: TestContext): Promise<Site> {
  const random = seededRandom(SEED);
  const [operators, servers] = [new MemoryTopic(), new MemoryTopic()];
  const backend = await startBackend("server", sendCompleteAnswer);
  context.after(() => backend.close());
  servers.put(backend.server.id, backend.server);
  putManifest(operators, 1);
  const vms: TestGateway[] = [];
  context.after(async () => {
    await Promise.all(vms.map(({ gateway }) => gateway.stop()));
  });
  for (let index = 1; index <= VM_COUNT; index++) {
    const seeds = vms.slice(0, 1).map(({ peerAddress }) => peerAddress);
    const vm = `vm-${index}`;
    vms.push(await startGateway({ vm, operators, servers, seeds, random }));
  }
  for (const vm of vms) await untilReady(vm);
  return { operators, servers, backend, vms };
}

/** Writes a manifest whose one route besides the lookups names its version. */
function putManifest(operators: MemoryTopic, version: number): void {
  const ownRoute = routeOf({ ...LOOKUP_ROUTE, routePrefix: `/${version}/` });
  const routes = [LOOKUP_ROUTE, ownRoute];
  operators.put("manifest", manifestOf({ version, routes }));
}

function statusOf(vm: TestGateway, path: string): Promise<number> {
  return call(vm.callerAddress, { path }).then(({ status }) => status);
}

/** The VMs that don't answer the route of the version in time. */
async function vmsWithout(
  version: number,
  vms: readonly TestGateway[],
): Promise<number[]> {
  const endMs = performance.now() + CONVERGE_MS;
  const isInForce = async (vm: TestGateway): Promise<boolean> => {
    while (await statusOf(vm, `/${version}/a`) !== 200) {
      if (performance.now() > endMs) return false;
      await delay(POLL_MS);
    }
    return true;
  };
  const answers = await Promise.all(vms.map(isInForce));
  return [...answers.keys()].filter((index) => !answers[index]);
}

async function restore(topic: MemoryTopic, recordCount: number): Promise<void> {
  topic.isDown = true;
  await delay(300);
  topic.restore(recordCount);
  topic.isDown = false;
}

test("a manifest written after the store was restored is in force in time", async (context) => {
  const { operators, vms } = await startSite(context);
  for (let version = 2; version <= 5; version++) {
    putManifest(operators, version);
    await delay(200);
  }
  assert.deepEqual(await vmsWithout(5, vms), []);
  await restore(operators, 1);
  await delay(500);
  putManifest(operators, 5);
  await delay(500);
  putManifest(operators, 9);
  assert.deepEqual(await vmsWithout(9, vms), []);
});
