/**
 * Measures the resource usage of VMs (entry and controller) without traffic, at
 * the periods of a real deployment, and the time until an edit is in force on
 * every VM, also with one VM disconnected from the log. Prints one JSON line.
 *
 * Usage: node dist/bench/idle.js --entries N [--seconds N]
 */
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import { parseArgs } from "node:util";
import { ROOT_PATH } from "../src/model/mod.ts";
import { type Position } from "../src/state/mod.ts";
import { Cluster } from "../test/cluster.ts";
import { seedEdit } from "../test/seed_log.ts";
import { readSitePlan, readTree, withEntryCount } from "../test/site_plan.ts";
import { usageBetween, usageOf } from "./usage.ts";

const SEED = 1;
const EDIT_COUNT = 5;
const MS_PER_S = 1000;

/** The periods of a real deployment. */
const TIMING = {
  probePeriodMs: 1000,
  vmListPeriodMs: 5000,
  loadPeriodMs: 1000,
  controllerPeriodMs: 1000,
  entriesMaxAgeMs: 15_000,
};

async function run(entries: number, seconds: number): Promise<unknown> {
  const cluster = await Cluster.start({
    plan: withEntryCount(readSitePlan("kavango"), entries),
    tree: readTree("kavango"),
    seed: SEED,
    hasControllers: true,
    overrides: { timing: TIMING },
  });
  try {
    const before = usageOf(cluster);
    const startMs = performance.now();
    await delay(seconds * MS_PER_S);
    const elapsedMs = performance.now() - startMs;
    const vms = usageBetween(before, usageOf(cluster), elapsedMs);
    let base = cluster.seededRevision;
    const inForceMs: number[] = [];
    for (let index = 0; index < EDIT_COUNT; index += 1) {
      const edit = await timeEdit(cluster, base, index);
      inForceMs.push(edit.durationMs);
      base = edit.revision;
    }
    const disconnectedVm = [...cluster.vms.values()].at(-1);
    disconnectedVm?.logLink.cut();
    const lastEdit = await timeEdit(cluster, base, EDIT_COUNT);
    return {
      entries,
      ...meanUsage(vms),
      inForceMs,
      inForceCutMs: lastEdit.durationMs,
    };
  } finally {
    await cluster.close();
  }
}

/** Writes an edit and waits until it is in force on every VM. */
async function timeEdit(
  cluster: Cluster,
  base: Position,
  index: number,
): Promise<{ readonly revision: Position; readonly durationMs: number }> {
  const startMs = performance.now();
  const revision = seedEdit(cluster.site.log, {
    path: ROOT_PATH,
    set: { fairWeight: 1 + index },
    base,
  });
  const endMs = await cluster.waitInForce(revision);
  return { revision, durationMs: Math.round(endMs - startMs) };
}

type Usage = ReturnType<typeof usageBetween>[number];

function meanUsage(vms: readonly Usage[]): Record<string, number> {
  const mean = (valueOf: (vm: Usage) => number): number => {
    const sum = vms.reduce((total, vm) => total + valueOf(vm), 0);
    return Math.round(sum / vms.length * 10_000) / 10_000;
  };
  return {
    entryCpuShare: mean((vm) => vm.entryCpuShare),
    controlCpuShare: mean((vm) => vm.controlCpuShare),
    controlBytesPerSecond: mean((vm) => vm.controlBytesPerSecond),
    entryMemoryMb: mean((vm) => vm.entryMemoryMb),
    controllerMemoryMb: mean((vm) => vm.controllerMemoryMb),
  };
}

const { values } = parseArgs({
  options: {
    entries: { type: "string", default: "7" },
    seconds: { type: "string", default: "20" },
  },
});
console.log(
  JSON.stringify(await run(Number(values.entries), Number(values.seconds))),
);
