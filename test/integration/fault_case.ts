/**
 * One case of the integration tests: a deployment of three VMs under load, with
 * faults in the middle of the run, checked against the invariants.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Cluster } from "../cluster.ts";
import { type FaultName } from "../faults.ts";
import { checkInvariants } from "../invariants.ts";
import { unexpectedViolations } from "../known_red.ts";
import { runScenario, type ScenarioResult } from "../scenario.ts";
import {
  type Deployment,
  readSitePlan,
  readTree,
  withEntryCount,
} from "../site_plan.ts";
import { Workload } from "../workload.ts";

const ENTRY_COUNT = 3;
const REQUESTS_PER_SECOND = 12;
const DURATION_MS = 4000;
const DEADLINE_MS = 8000;
const TEST_TIMEOUT_MS = 90_000;

/** The deployment and faults of a case, and the seed of its load. */
export interface FaultCase {
  readonly deployment: Deployment;
  readonly faults: readonly FaultName[];
  readonly seed: number;
}

/** Registers the test of a case. */
export function testFaults(
  fault: FaultCase,
  check: (result: ScenarioResult) => void = () => {},
): void {
  const name = `${fault.deployment}: ${fault.faults.join(" with ")}`;
  test(name, { timeout: TEST_TIMEOUT_MS }, async (context) => {
    const result = await runCase(fault, (close) => context.after(close));
    const violations = checkInvariants(result.evidence);
    const unexpected = unexpectedViolations(name, violations);
    for (const one of violations) {
      if (unexpected.includes(one)) continue;
      context.diagnostic(`KNOWN-RED ${one.promise} ${one.subject}`);
    }
    assert.deepEqual(unexpected, []);
    const isAnswered = result.requests.some((one) => one.last.end === "whole");
    assert.ok(isAnswered, "no request was answered");
    check(result);
  });
}

/**
 * Runs a case on a cluster of its own. `onStart` receives the function that
 * closes the cluster, so that a test can close it when it ends early.
 */
export async function runCase(
  fault: FaultCase,
  onStart: (close: () => Promise<void>) => void = () => {},
): Promise<ScenarioResult> {
  const { deployment, faults, seed } = fault;
  const plan = withEntryCount(readSitePlan(deployment), ENTRY_COUNT);
  const tree = readTree(deployment);
  const cluster = await Cluster.start({
    plan,
    tree,
    seed,
    hasControllers: false,
  });
  onStart(() => cluster.close());
  try {
    return await runScenario({
      cluster,
      workload: new Workload({
        plan,
        seed,
        deadlineMs: DEADLINE_MS,
        name: `t${seed}`,
      }),
      requestsPerSecond: REQUESTS_PER_SECOND,
      durationMs: DURATION_MS,
      faults,
    });
  } finally {
    await cluster.close();
  }
}

/** Asserts that every request of a run got a complete answer. */
export function assertAllComplete({ requests }: ScenarioResult): void {
  const incomplete = requests.filter((one) => one.last.end !== "whole")
    .map(({ last }) => `${last.requestId}: ${last.end} ${last.reason}`);
  assert.deepEqual(incomplete, []);
}
