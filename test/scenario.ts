/**
 * Runs a cluster under load with faults in the middle part of the run, ends the
 * faults, waits for the bills in the log, and returns the evidence.
 */
import { performance } from "node:perf_hooks";
import { type Cluster } from "./cluster.ts";
import {
  type CallRecord,
  type Evidence,
  type LeavingServer,
} from "./evidence.ts";
import { applyFault, type FaultName, type Heal } from "./faults.ts";
import { billsOf } from "./invariants.ts";
import { runLoad, type SentRequest } from "./load.ts";
import { WaitError, waitFor } from "./wait.ts";
import { type Workload } from "./workload.ts";

const FAULT_START_SHARE = 0.3;
const FAULT_END_SHARE = 0.7;
const SAMPLE_MS = 500;
const BILL_TIMEOUT_MS = 15_000;
/** Time within which new work for a leaving server must stop. */
const LEAVING_BOUND_MS = 3000;

/** Options of a run. */
export interface ScenarioOptions {
  readonly cluster: Cluster;
  readonly workload: Workload;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly faults: readonly FaultName[];
}

/** The evidence and requests of a run. */
export interface ScenarioResult {
  readonly evidence: Evidence;
  readonly requests: readonly SentRequest[];
  /** Time from the start of the run until the last request has ended. */
  readonly elapsedMs: number;
}

/** Runs load with faults and collects the evidence. */
export async function runScenario(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const { cluster } = options;
  const startMs = performance.now();
  const leavingServers: LeavingServer[] = [];
  const sampler = setInterval(() => {
    for (const vm of cluster.live()) void cluster.readRevision(vm);
  }, SAMPLE_MS);
  const faults = runFaults(options, leavingServers);
  try {
    const load = await runLoad(options);
    await faults;
    const elapsedMs = performance.now() - startMs;
    await waitForBills(cluster, load.calls);
    const evidence: Evidence = {
      ...cluster.records(),
      calls: load.calls.toSorted((a, b) => a.sentMs - b.sentMs),
      tree: cluster.tree,
      withdrawals: [],
      leavingServers,
    };
    return { evidence, requests: load.requests, elapsedMs };
  } finally {
    clearInterval(sampler);
  }
}

async function runFaults(
  options: ScenarioOptions,
  leavingServers: LeavingServer[],
): Promise<void> {
  const { cluster, durationMs } = options;
  await pause(durationMs * FAULT_START_SHARE);
  const heals: Heal[] = [];
  for (const name of options.faults) {
    heals.push(await applyFault(cluster, name));
    if (name !== "server_leaves") continue;
    const server = cluster.site.engines[0]?.server ?? "";
    leavingServers.push({
      server,
      fromMs: performance.now() + LEAVING_BOUND_MS,
    });
  }
  await pause(durationMs * (FAULT_END_SHARE - FAULT_START_SHARE));
  for (const heal of heals) await heal();
}

async function waitForBills(
  cluster: Cluster,
  calls: readonly CallRecord[],
): Promise<void> {
  const complete = calls.filter((call) => call.end === "whole");
  try {
    await waitFor(() => {
      const bills = billsOf(cluster.site.log.recorded.appends);
      const isBilled = complete.every((call) => bills.has(call.requestId));
      return isBilled ? true : undefined;
    }, { what: "bill of every complete answer", timeoutMs: BILL_TIMEOUT_MS });
  } catch (error) {
    if (!(error instanceof WaitError)) throw error;
  }
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
