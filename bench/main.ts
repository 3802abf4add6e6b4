/**
 * Runs a complete deployment of real processes under load and prints a summary
 * as JSON on the last line. The exit status is 1 if an invariant was violated
 * and 2 if an option is invalid.
 *
 * Usage: npm run measure -- --deployment kavango|tullagh --seconds N --seed S
 *   [--fault NAME,...] [--policy NAME] [--rate N] [--entries N]
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
/** Route policy of the programs; bench/policies measures the others. */
const DEFAULT_POLICY = "default";

interface MeasureOptions {
  readonly deployment: Deployment;
  readonly seconds: number;
  readonly seed: number;
  readonly faults: readonly FaultName[];
  readonly policy: string;
  readonly plan: SitePlan;
}

/** Returns the parsed options, or an error message. */
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
    return `--deployment must be ${DEPLOYMENTS.join(" or ")}`;
  }
  if (values.policy !== DEFAULT_POLICY) {
    return `--policy must be "${DEFAULT_POLICY}"`;
  }
  const faults = values.fault.split(",");
  const invalid = faults.find((name) => !isFault(name));
  if (invalid !== undefined) return `--fault: one of ${FAULT_NAMES.join(", ")}`;
  const plan = readSitePlan(deployment);
  const sizedPlan = values.entries === undefined
    ? plan
    : withEntryCount(plan, Number(values.entries));
  const requestsPerSecond = Number(values.rate ?? plan.requestsPerSecond);
  return {
    deployment,
    seconds: Number(values.seconds),
    seed: Number(values.seed),
    faults: faults as FaultName[],
    policy: values.policy,
    plan: { ...sizedPlan, requestsPerSecond },
  };
}

function isFault(name: string): name is FaultName {
  return FAULT_NAMES.some((fault) => fault === name);
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
