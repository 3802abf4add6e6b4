/**
 * `npm run measure -- --deployment kavango|tullagh --seconds N --seed S
 * [--fault NAME,...] [--policy NAME] [--rate N] [--entries N]`: one run of a
 * whole deployment with real processes. The last line is its summary as JSON;
 * the exit status is 1 when a promise was broken.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { type RunSummary } from "../src/report/run_summary.ts";
import { Cluster } from "../test/cluster.ts";
import { FAULT_NAMES, type FaultName } from "../test/faults.ts";
import { runScenario } from "../test/scenario.ts";
import {
  type Deployment,
  DEPLOYMENTS,
  readSitePlan,
  readTree,
  type SitePlan,
  withEntryCount,
} from "../test/site_plan.ts";
import { Workload } from "../test/workload.ts";
import { summarise } from "./summarise.ts";
import { usageBetween, usageOf } from "./usage.ts";

const BAD_USAGE_STATUS = 2;
const REQUEST_DEADLINE_MS = 60_000;
/** The programs' own route policy; others run in bench/policies. */
const DEFAULT_POLICY = "default";

interface MeasureOptions {
  readonly deployment: Deployment;
  readonly seconds: number;
  readonly seed: number;
  readonly faults: readonly FaultName[];
  readonly policy: string;
  readonly plan: SitePlan;
}

function parseOptions(): MeasureOptions | string {
  const { values } = parseArgs({
    options: {
      deployment: { type: "string", default: "kavango" },
      seconds: { type: "string", default: "20" },
      seed: { type: "string", default: "1" },
      fault: { type: "string", default: "none" },
      policy: { type: "string", default: DEFAULT_POLICY },
      rate: { type: "string" },
      entries: { type: "string" },
    },
  });
  const deployment = DEPLOYMENTS.find((name) => name === values.deployment);
  if (deployment === undefined) {
    return `deployment: ${DEPLOYMENTS.join(" or ")}`;
  }
  if (values.policy !== DEFAULT_POLICY) {
    return `policy: only "${DEFAULT_POLICY}" runs in the programs`;
  }
  const faults = values.fault.split(",");
  const unknown = faults.find((name) => !isFault(name));
  if (unknown !== undefined) return `fault: one of ${FAULT_NAMES.join(", ")}`;
  const plan = readSitePlan(deployment);
  const sized = values.entries === undefined
    ? plan
    : withEntryCount(plan, Number(values.entries));
  const requestsPerSecond = Number(values.rate ?? plan.requestsPerSecond);
  return {
    deployment,
    seconds: Number(values.seconds),
    seed: Number(values.seed),
    faults: faults as FaultName[],
    policy: values.policy,
    plan: { ...sized, requestsPerSecond },
  };
}

function isFault(name: string): name is FaultName {
  return FAULT_NAMES.some((known) => known === name);
}

async function measure(options: MeasureOptions): Promise<RunSummary> {
  const { plan, seed, deployment } = options;
  const cluster = await Cluster.start({
    plan,
    tree: readTree(deployment),
    seed,
    hasControllers: true,
  });
  try {
    const before = usageOf(cluster);
    const run = await runScenario({
      cluster,
      workload: new Workload({
        plan,
        seed,
        deadlineMs: REQUEST_DEADLINE_MS,
        name: `m${seed}`,
      }),
      requestsPerSecond: plan.requestsPerSecond,
      durationMs: options.seconds * 1000,
      faults: options.faults,
    });
    const vms = usageBetween(before, usageOf(cluster), run.elapsedMs);
    const { qualityShares } = cluster.site.plan;
    const qualityOf = (version: string): number => qualityShares[version] ?? 0;
    return summarise(run, { ...options, qualityOf, vms });
  } finally {
    await cluster.close();
  }
}

const options = parseOptions();
if (typeof options === "string") {
  console.error(options);
  process.exitCode = BAD_USAGE_STATUS;
} else {
  const summary = await measure(options);
  console.log(JSON.stringify(summary));
  process.exitCode = Object.keys(summary.violations).length === 0 ? 0 : 1;
}
