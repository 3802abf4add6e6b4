/**
 * Three VMs before a store that is restored from older copies, for tests. The
 * store loses the newest records of each topic and gives their offsets out again.
 */
import { setTimeout as delay } from "node:timers/promises";
import { type TestContext } from "node:test";
import { manifestOf, routeOf } from "../../decision/manifest_fixture.ts";
import { seededRandom } from "../../decision/membership_fixture.ts";
import { type Random } from "../../model/mod.ts";
import {
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
import { MemoryTopic } from "./memory_topic_fixture.ts";

const SEED = 27;
const VM_COUNT = 3;
/** Time within which a manifest has to be in force on every VM. */
const CONVERGE_MS = 2500;
/** Pause between two requests of a test. */
export const POLL_MS = 25;

/** The topics of the store, a server and the VMs. */
export interface Site {
  readonly random: Random;
  readonly operators: MemoryTopic;
  readonly servers: MemoryTopic;
  readonly statusTopic: MemoryTopic;
  readonly backend: TestBackend;
  readonly vms: readonly TestGateway[];
}

/** Starts the VMs and waits until they are ready. */
export async function startSite(
  context: TestContext,
  { isTurnedAway = false, onStarted = (): void => {} }: {
    /** Whether the store answers the last VM nothing. */
    readonly isTurnedAway?: boolean;
    /** Called before the VMs are ready. */
    readonly onStarted?: (operators: MemoryTopic) => void;
  } = {},
): Promise<Site> {
  const random = seededRandom(SEED);
  const [operators, servers] = [new MemoryTopic(), new MemoryTopic()];
  const statusTopic = new MemoryTopic();
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
    const topics = isTurnedAway && index === VM_COUNT
      ? downTopics()
      : { operators, servers, statusTopic };
    vms.push(await startGateway({ ...topics, vm, seeds, random }));
  }
  onStarted(operators);
  for (const vm of vms) await untilReady(vm);
  return { random, operators, servers, statusTopic, backend, vms };
}

function downTopics(): Pick<Site, "operators" | "servers"> {
  const [operators, servers] = [new MemoryTopic(), new MemoryTopic()];
  operators.isDown = true;
  servers.isDown = true;
  return { operators, servers };
}

/** Writes a manifest whose one route besides the lookups names its version. */
export function putManifest(operators: MemoryTopic, version: number): void {
  const ownRoute = routeOf({ ...LOOKUP_ROUTE, routePrefix: `/${version}/` });
  const routes = [LOOKUP_ROUTE, ownRoute];
  operators.put("manifest", manifestOf({ version, routes }));
}

/** The status of a request to a VM. */
export function statusOf(vm: TestGateway, path: string): Promise<number> {
  return call(vm.callerAddress, { path }).then(({ status }) => status);
}

/** The VMs that don't answer the route of the version in time. */
export async function vmsWithout(
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

/** Takes a topic away for a moment and restores it from its first records. */
export async function restore(
  topic: MemoryTopic,
  recordCount: number,
): Promise<void> {
  topic.isDown = true;
  await delay(300);
  topic.restore(recordCount);
  topic.isDown = false;
}
