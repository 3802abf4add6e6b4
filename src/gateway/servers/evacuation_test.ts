/** Tests of VMs with backend servers in a data centre that is evacuated. */
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { chooseStoreReaders } from "../../decision/mod.ts";
import { routeOf } from "../../decision/manifest_fixture.ts";
import {
  beginStream,
  eventsOf,
  sendCompleteAnswer,
  startBackend,
  type TestBackend,
} from "./backend_fixture.ts";
import {
  call,
  EVACUATION_PREFIX,
  LOOKUP_ROUTE,
  startGateway,
  type TestGateway,
  untilReady,
} from "../gateway_fixture.ts";
import { MemoryTopic } from "../store/memory_topic_fixture.ts";
import { until } from "../until_fixture.ts";

const VM_COUNT = 3;
const PLACE = "khomas-b";
const KEY = `${EVACUATION_PREFIX}${PLACE}`;
const PLACES = ["khomas-a", PLACE].map((place) => ({
  place,
  region: "khomas",
}));
/** Longer than any VM needs here; the bound of the page is 5 s. */
const IN_FORCE_MS = 2000;
const CALL_PERIOD_MS = 20;
const STREAM_ROUTE = routeOf({ name: "drafts", routePrefix: "/drafts/" });
const LONG_PATH = "/drafts/long";
const LONG_MS = 1000;
const PATHS = ["/lookups/a", "/drafts/a"];

interface Site {
  readonly operators: MemoryTopic;
  readonly servers: MemoryTopic;
  /** Servers of the data centre, and those of the other one. */
  readonly inside: readonly TestBackend[];
  readonly outside: readonly TestBackend[];
  readonly vms: readonly TestGateway[];
  readonly start: (vm: string, topics?: Topics) => Promise<TestGateway>;
}

type Topics = Pick<Site, "operators" | "servers">;

/** A store that answers nothing. */
function downTopics(): Topics {
  const [operators, servers] = [new MemoryTopic(), new MemoryTopic()];
  operators.isDown = true;
  servers.isDown = true;
  return { operators, servers };
}

/** Three VMs, of which the store refuses the last one. */
async function startSite(
  context: TestContext,
  { insideCount = 3, outsideCount = 3 } = {},
): Promise<Site> {
  const startIn = (place: string, count: number): Promise<TestBackend[]> =>
    Promise.all(
      Array.from(
        { length: count },
        (_, index) =>
          startBackend(`${place}-${index}`, (request, response) => {
            if (!String(request.url).startsWith("/drafts/")) {
              return sendCompleteAnswer(request, response);
            }
            beginStream(request, response);
            response.write(eventsOf(1, 3));
            const forMs = request.url === LONG_PATH ? LONG_MS : 100;
            setTimeout(() => response.end(eventsOf(4, 5)), forMs);
          }, { place }),
      ),
    );
  const inside = await startIn(PLACE, insideCount);
  const outside = await startIn("khomas-a", outsideCount);
  const backends = [...inside, ...outside];
  const topics = { operators: new MemoryTopic(), servers: new MemoryTopic() };
  const vms: TestGateway[] = [];
  const start = async (
    vm: string,
    own: Topics = topics,
  ): Promise<TestGateway> => {
    const started = await startGateway({
      vm,
      ...own,
      settings: { places: PLACES, place: PLACE },
      seeds: vms.slice(0, 1).map(({ peerAddress }) => peerAddress),
      ...vms.length === 0
        ? { backends, manifest: { routes: [LOOKUP_ROUTE, STREAM_ROUTE] } }
        : {},
    });
    vms.push(started);
    return started;
  };
  context.after(async () => {
    await Promise.all(vms.map(({ gateway }) => gateway.stop()));
    await Promise.all(backends.map((backend) => backend.close()));
  });
  for (let index = 1; index < VM_COUNT; index++) await start(`vm-${index}`);
  await start(`vm-${VM_COUNT}`, downTopics());
  for (const vm of vms) await untilReady(vm);
  return { ...topics, inside, outside, vms, start };
}

function countOf(backends: readonly TestBackend[]): number {
  return backends.reduce((sum, { requestIds }) => sum + requestIds.length, 0);
}

/** Sends requests to all VMs in turn and counts those that were answered. */
async function load(
  vms: readonly TestGateway[],
  forMs: number,
): Promise<{ readonly sentCount: number; readonly servedCount: number }> {
  const endMs = performance.now() + forMs;
  const ends: Promise<boolean>[] = [];
  for (let count = 0; performance.now() < endMs; count++) {
    const address = vms[count % vms.length]?.callerAddress ?? "";
    const path = PATHS[Math.floor(count / vms.length) % PATHS.length] ?? "";
    const headers = { "test-id": `request-${count}-${endMs}` };
    const answer = call(address, { path, headers, body: "a body" });
    ends.push(
      answer.then(({ status, isComplete }) => status === 200 && isComplete),
    );
    await delay(CALL_PERIOD_MS);
  }
  const served = await Promise.all(ends);
  return {
    sentCount: served.length,
    servedCount: served.filter((isServed) => isServed).length,
  };
}

/** The requests that reach the evacuated servers in a while from now on. */
async function countInside(site: Site, forMs = 1000): Promise<number> {
  const before = countOf(site.inside);
  await load(site.vms, forMs);
  return countOf(site.inside) - before;
}

// Guards against requests at the servers of a data centre whose evacuation was
// ordered 5 s ago (49 in 5 s, 40 a second at six servers).
test("an evacuated data centre gets no request, and requests again after the end", async (context) => {
  const site = await startSite(context);
  assert.ok(await countInside(site) > 0);
  site.operators.put(KEY, {});
  const { sentCount, servedCount } = await load(site.vms, IN_FORCE_MS);
  assert.equal(servedCount, sentCount);
  assert.equal(await countInside(site), 0);
  site.operators.drop(KEY);
  await delay(IN_FORCE_MS);
  assert.ok(await countInside(site) > 0);
});

// Guards against cut streams: running requests go on to their end.
test("a stream that runs when its server's data centre is evacuated goes on", async (context) => {
  const site = await startSite(context, { outsideCount: 0 });
  const { vms, operators } = site;
  const [vm] = vms;
  assert.ok(vm !== undefined);
  const stream = call(vm.callerAddress, { path: LONG_PATH });
  await until(() => countOf(site.inside) === 1);
  operators.put(KEY, {});
  await until(() => /^evacuated_places 1$/m.test(vm.gateway.metricsText()));
  const refused = await call(vm.callerAddress, { path: "/lookups/a" });
  assert.equal(refused.status, 503);
  const { status, body } = await stream;
  assert.equal(status, 200);
  assert.equal(body, eventsOf(1, 5));
  assert.equal(countOf(site.inside), 1);
});

// Guards against requests that are held until their deadline.
test("requests without another server are refused at once as evacuated", async (context) => {
  const site = await startSite(context, { outsideCount: 0 });
  site.operators.put(KEY, {});
  await delay(IN_FORCE_MS);
  for (const { callerAddress } of site.vms) {
    const sentAtMs = performance.now();
    const answer = await call(callerAddress, { path: "/lookups/a" });
    assert.ok(performance.now() - sentAtMs < 200);
    assert.equal(answer.status, 503);
    assert.match(answer.body, /evacuated/);
    assert.ok(Number(answer.headers["retry-after"]) > 0);
  }
});

// Guards against an order that ends with the store's memory of it.
test("an order survives a store that lost it, also on a VM that starts then", async (context) => {
  const site = await startSite(context);
  const keptCount = site.operators.records.length;
  site.operators.put(KEY, {});
  await delay(IN_FORCE_MS);
  site.operators.restore(keptCount);
  await delay(IN_FORCE_MS);
  const started = await site.start("vm-late");
  await untilReady(started);
  await delay(IN_FORCE_MS);
  assert.equal(await countInside(site), 0);
  site.operators.drop(KEY);
  await delay(IN_FORCE_MS);
  assert.ok(await countInside(site) > 0);
});

// Guards against an order that comes back with a copy of the store.
test("a copy of the store does not bring a removed order back", async (context) => {
  const site = await startSite(context);
  site.operators.put(KEY, {});
  const copiedCount = site.operators.records.length;
  await delay(IN_FORCE_MS);
  site.operators.drop(KEY);
  await delay(IN_FORCE_MS);
  site.operators.restore(copiedCount);
  await delay(IN_FORCE_MS);
  assert.ok(await countInside(site) > 0);
  site.operators.put(KEY, {});
  await delay(IN_FORCE_MS);
  assert.equal(await countInside(site), 0);
});

// Guards against bad input: it changes nothing that is in force.
test("an order for a data centre that does not exist changes nothing", async (context) => {
  const site = await startSite(context);
  site.operators.put(`${EVACUATION_PREFIX}nowhere`, {});
  await delay(IN_FORCE_MS);
  assert.ok(await countInside(site) > 0);
});

// Guards against an evacuation that is not seen in the figures of a VM.
test("metrics tell how many data centres are evacuated", async (context) => {
  const { vms, operators } = await startSite(context);
  operators.put(KEY, {});
  await until(() =>
    vms.every(({ gateway }) =>
      /^evacuated_places 1$/m.test(gateway.metricsText())
    )
  );
});

/** A store that answers reads only while it does not hang. */
class HangingTopic extends MemoryTopic {
  isHanging = false;

  override async readAfter(
    ...[position, limits]: Parameters<MemoryTopic["readAfter"]>
  ): ReturnType<MemoryTopic["readAfter"]> {
    const read = await super.readAfter(position, limits);
    while (this.isHanging) await delay(20);
    return read;
  }
}

// Guards against an order that takes as long as a manifest may, where the store
// reader of a data centre gets no answers and convergeMs is long.
test("an order is in force in time where the store reader gets no answers", async (context) => {
  const topics = [new HangingTopic(), new HangingTopic()];
  const servers = new MemoryTopic();
  const vms: TestGateway[] = [];
  context.after(async () => {
    for (const topic of topics) topic.isHanging = false;
    await Promise.all(vms.map(({ gateway }) => gateway.stop()));
  });
  for (const [index, operators] of topics.entries()) {
    operators.records = topics[0]?.records ?? [];
    vms.push(
      await startGateway({
        vm: `vm-${index}`,
        operators,
        servers,
        settings: { convergeMs: 12_000, places: PLACES, place: PLACE },
        seeds: vms.map(({ peerAddress }) => peerAddress),
        ...index === 0 ? { manifest: { routes: [LOOKUP_ROUTE] } } : {},
      }),
    );
  }
  const evacuatedCounts = (): string[] =>
    vms.map(({ gateway }) =>
      /^evacuated_places (\d+)$/m.exec(gateway.metricsText())?.[1] ?? ""
    );
  for (const vm of vms) await untilReady(vm);
  await delay(2000);
  // Both have just read the store when its reader stops getting answers.
  topics[0]?.put(`${EVACUATION_PREFIX}khomas-a`, {});
  await until(() => evacuatedCounts().every((count) => count === "1"));
  const [reader] = chooseStoreReaders(
    [...vms.keys()].map((index) => ({ vm: `vm-${index}`, place: PLACE })),
  );
  for (const [index, topic] of topics.entries()) {
    topic.isHanging = `vm-${index}` === reader?.vm;
  }
  topics[0]?.put(KEY, {});
  const orderedAtMs = performance.now();
  await until(() => evacuatedCounts().every((count) => count === "2"));
  const inForceMs = performance.now() - orderedAtMs;
  assert.ok(inForceMs < 5000, String(inForceMs));
});
