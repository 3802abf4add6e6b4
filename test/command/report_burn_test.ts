/** Tests of the burn report with entry processes, one of which is killed. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { text } from "node:stream/consumers";
import { test } from "node:test";
import { type BurnReport } from "../../src/report/burn_report.ts";
import { totalOf } from "../../src/report/burn_window.ts";
import { Cluster } from "../cluster.ts";
import { runLoad } from "../load.ts";
import { OPERATOR_TOKEN } from "../process_config.ts";
import { readSitePlan, readTree, withEntryCount } from "../site_plan.ts";
import { waitFor } from "../wait.ts";
import { Workload } from "../workload.ts";

const SEED = 5;
const BURN_RECORD_TIMEOUT_MS = 20_000;

async function reportOf(cluster: Cluster): Promise<BurnReport> {
  const entries = [...cluster.vms.values()].flatMap(({ httpAddress }) => [
    "--entry",
    httpAddress,
  ]);
  const child = spawn(process.execPath, [
    "dist/src/bin/cli.js",
    ...["report", "burn", "--format", "json", "--log-url", "http://127.0.0.1"],
    ...["--token", OPERATOR_TOKEN, ...entries],
  ], { stdio: ["ignore", "pipe", "inherit"] });
  const exited = once(child, "exit");
  const output = await text(child.stdout);
  await exited;
  assert.equal(child.exitCode, 0);
  return JSON.parse(output) as BurnReport;
}

function countOf(report: BurnReport, window: string): number {
  const cells = report.rows.flatMap((row) => row.cells);
  return cells.filter((cell) => cell.window === window)
    .reduce((sum, { counts }) => sum + totalOf(counts), 0);
}

function hasBurnRecord(cluster: Cluster, vm: string): boolean {
  return cluster.site.log.records("control").some(({ payload }) =>
    payload.includes('"burn"') && payload.includes(`"${vm}"`)
  );
}

test("the report counts every request and is incomplete after a VM is killed", async () => {
  const plan = withEntryCount(readSitePlan("tullagh"), 3);
  const tree = readTree("tullagh");
  const cluster = await Cluster.start({
    plan,
    tree,
    seed: SEED,
    hasControllers: false,
  });
  try {
    const workload = new Workload({
      plan,
      seed: SEED,
      deadlineMs: 10_000,
      name: "burn",
    });
    await runLoad({
      cluster,
      workload,
      requestsPerSecond: 10,
      durationMs: 2000,
    });
    const before = await reportOf(cluster);
    assert.equal(before.vms.length, 3);
    assert.ok(countOf(before, "3 d") > 10);
    assert.equal(countOf(before, "5 min"), countOf(before, "3 d"));
    assert.ok(before.coverage.every(({ isComplete }) => isComplete));
    const [victim = ""] = cluster.vms.keys();
    await waitFor(() => hasBurnRecord(cluster, victim) || undefined, {
      what: "first burn record of the VM",
      timeoutMs: BURN_RECORD_TIMEOUT_MS,
    });
    await cluster.killVm(victim);
    const after = await reportOf(cluster);
    assert.equal(after.vms.length, 2);
    assert.equal(after.silent.length, 1);
    assert.ok(after.coverage.every(({ isComplete }) => !isComplete));
  } finally {
    await cluster.close();
  }
});
