/**
 * Measures the processor time of one routing decision by number of listed
 * backend servers, with the VM's default subset and over all servers.
 *
 * Usage: node dist/bench/policies/decision_cost.js
 */
import process from "node:process";
import { DEFAULT_SUBSET_LIMITS } from "../../src/decision/mod.ts";
import { type Vm } from "../../src/model/mod.ts";
import { ServerDirectory } from "../../src/client/mod.ts";
import { PrefixLocations } from "../../src/filter/prefix_locations.ts";
import { createRouter, type Router } from "../../src/filter/router.ts";
import { createRandom } from "./workload.ts";

const SERVER_COUNTS = [8, 80, 800, 4800];
const PLACES = ["a-1", "a-2", "a-3", "b-1", "b-2"];
const MIN_CPU_TIME_MS = 300;
const DECISIONS_PER_CHECK = 20;
const US_PER_MS = 1000;

/**
 * Returns the number of entry VMs for a server count, in the proportion of the
 * target deployment (410 entry VMs to 4800 servers), at least 5.
 */
function entryCountOf(serverCount: number): number {
  return Math.max(5, Math.round(serverCount * 410 / 4800));
}

function vmsOf(serverCount: number): Vm[] {
  const entries = Array.from(
    { length: entryCountOf(serverCount) },
    (_, index) => vmOf("entry", index),
  );
  const engines = Array.from(
    { length: serverCount },
    (_, index) => vmOf("engine", index),
  );
  return [...entries, ...engines];
}

function vmOf(kind: Vm["kind"], index: number): Vm {
  return {
    vm: `${kind}-${index}`,
    kind,
    service: kind === "engine" ? "models" : "",
    place: PLACES[index % PLACES.length] ?? "a-1",
    address: `127.0.0.1:${index + 1}`,
    peerAddress: "",
    status: "live",
  };
}

/** Creates a router and returns it with the number of servers it picks from. */
function createBenchRouter(
  vms: readonly Vm[],
  hasAllServers: boolean,
): [Router, number] {
  const directory = new ServerDirectory({
    self: "entry-0",
    source: { vms: () => vms, ageMs: () => 0 },
    places: PLACES,
    clock: () => 1,
    drains: () => ({ places: [], servers: [] }),
    priorFirstTokenMs: 200,
    priorServiceMs: 2000,
    subsetLimits: hasAllServers
      ? { floorCount: vms.length, coverageCount: vms.length }
      : DEFAULT_SUBSET_LIMITS,
  });
  directory.views("models", "");
  for (const [index, vm] of vms.entries()) {
    if (vm.kind !== "engine") continue;
    directory.recordReport(vm.vm, {
      server: vm.vm,
      sequence: 1,
      versions: [{ version: "a@1", state: "loaded", adapters: [] }],
      runningCount: index % 8,
      queuedCount: 0,
      slotCount: 8,
      memoryMb: 0,
      usedMemoryMb: 0,
      role: "both",
      isLeaving: false,
    });
  }
  const router = createRouter({
    table: directory,
    prefixLocations: new PrefixLocations(),
    distanceTo: (place) => ({
      delayMs: place === PLACES[0] ? 0.5 : 12,
      egressMicroEurPerMb: 0,
    }),
    clock: () => 1,
    random: createRandom(1),
  });
  return [router, directory.views("models", "").length];
}

/** Returns the processor time of one decision in microseconds. */
function costUs(router: Router): number {
  const query = {
    service: "models",
    version: "a@1",
    requestClass: "lookup",
    leftMs: 10_000,
    excluded: new Set<string>(),
    prefixKey: undefined,
    transferBytes: 1000,
  } as const;
  const startUsage = process.cpuUsage();
  let count = 0;
  for (;;) {
    for (let index = 0; index < DECISIONS_PER_CHECK; index += 1) {
      const target = router(query);
      if (target.isErr()) throw new Error(target.error);
      target.value.use.finish({
        verdict: "neutral",
        firstTokenMs: undefined,
        serviceMs: undefined,
        tokenMs: undefined,
      });
    }
    count += DECISIONS_PER_CHECK;
    const used = process.cpuUsage(startUsage);
    const usedUs = used.user + used.system;
    if (usedUs >= MIN_CPU_TIME_MS * US_PER_MS) return usedUs / count;
  }
}

console.log("| known servers | entry VMs | in the subset | µs | µs, all |");
console.log("|---|---|---|---|---|");
for (const count of SERVER_COUNTS) {
  const vms = vmsOf(count);
  const [router, subsetCount] = createBenchRouter(vms, false);
  const [fullRouter] = createBenchRouter(vms, true);
  costUs(router);
  const subsetUs = costUs(router);
  costUs(fullRouter);
  const fullUs = costUs(fullRouter);
  console.log(
    `| ${count} | ${entryCountOf(count)} | ${subsetCount} | ${
      subsetUs.toFixed(1)
    } | ${fullUs.toFixed(1)} |`,
  );
}
