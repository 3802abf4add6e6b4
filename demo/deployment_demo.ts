/**
 * The demo of one deployment, under a load of streamed answers and lookups. It
 * kills the entry VM that handles a registration, has the caller retry it
 * through another VM, and withdraws a version during the load.
 */
import { performance } from "node:perf_hooks";
import { Caller, type CallerRequest } from "../test/caller.ts";
import { Cluster } from "../test/cluster.ts";
import {
  type CallRecord,
  type Evidence,
  type Violation,
  type Withdrawal,
} from "../test/evidence.ts";
import { checkInvariants } from "../test/invariants.ts";
import { type LoadResult, runLoad, type SentRequest } from "../test/load.ts";
import {
  type Deployment,
  readSitePlan,
  readTree,
  type SitePlan,
  withEntryCount,
} from "../test/site_plan.ts";
import { waitFor } from "../test/wait.ts";
import { Workload } from "../test/workload.ts";
import { withdrawByCommand } from "./operator.ts";

const SEED = 7;
const ENTRY_COUNT = 3;
const REQUESTS_PER_SECOND = 15;
const LOAD_MS = 7000;
const DEADLINE_MS = 10_000;
const SLOW_SERVICE_MS = 400;
const RUN_TIMEOUT_MS = 5000;
const REGISTRATION_KEY = "submission-2026-114";

/** Lines to print and the violations found. */
export interface DemoReport {
  readonly lines: readonly string[];
  readonly violations: readonly Violation[];
}

export async function runDemo(deployment: Deployment): Promise<DemoReport> {
  const plan = withEntryCount(readSitePlan(deployment), ENTRY_COUNT);
  const startMs = performance.now();
  const cluster = await Cluster.start({
    plan,
    tree: readTree(deployment),
    seed: SEED,
    hasControllers: true,
  });
  const readyMs = Math.round(performance.now() - startMs);
  const lines = [`${cluster.vms.size} entry VMs ready after ${readyMs} ms`];
  const caller = new Caller();
  try {
    const pendingLoad = startLoad(cluster, plan);
    const registration = await registerAcrossVmKill(cluster, caller);
    lines.push(...registration.lines);
    const withdrawal = await withdraw(cluster, plan);
    lines.push(withdrawal.line);
    const load = await pendingLoad;
    lines.push(...describeLoad(load.requests));
    const evidence = evidenceOf(cluster, load, {
      calls: caller.calls,
      withdrawal: withdrawal.fact,
    });
    const violations = [
      ...checkInvariants(evidence),
      ...registration.violations,
    ];
    return { lines, violations };
  } finally {
    await caller.close();
    await cluster.close();
  }
}

function startLoad(cluster: Cluster, plan: SitePlan): Promise<LoadResult> {
  return runLoad({
    cluster,
    workload: new Workload({
      plan,
      seed: SEED,
      deadlineMs: DEADLINE_MS,
      name: plan.deployment,
    }),
    requestsPerSecond: REQUESTS_PER_SECOND,
    durationMs: LOAD_MS,
  });
}

interface Registration {
  readonly lines: readonly string[];
  readonly violations: readonly Violation[];
}

async function registerAcrossVmKill(
  cluster: Cluster,
  caller: Caller,
): Promise<Registration> {
  const [first, second] = [...cluster.vms.values()];
  if (first === undefined || second === undefined) {
    throw new Error("the demo needs at least two entry VMs");
  }
  for (const service of cluster.site.services) {
    service.switches.delayMs = SLOW_SERVICE_MS;
  }
  const entries = [first.callerAddress, second.callerAddress];
  const pendingCall = caller.send(registrationAsk(cluster), {
    entryOf: (index) => entries[Math.min(index, 1)] ?? "",
  });
  await waitFor(() => registrationRunCount(cluster) > 0 ? true : undefined, {
    what: "run of the registration",
    timeoutMs: RUN_TIMEOUT_MS,
  });
  await cluster.killVm(first.name);
  const call = await pendingCall;
  for (const service of cluster.site.services) service.switches.delayMs = 0;
  const count = registrationRunCount(cluster);
  return {
    lines: [
      `killed ${first.name} while a registration was in progress`,
      `retried through ${second.name}: ${
        describeEnd(call)
      }; run count ${count}`,
    ],
    violations: count === 1 ? [] : [{
      promise: "at_most_once",
      subject: REGISTRATION_KEY,
      detail: `the registration ran ${count} times`,
    }],
  };
}

function registrationAsk(cluster: Cluster): CallerRequest {
  const { plan } = cluster.site;
  return {
    requestId: "registration-1",
    kind: "service",
    requestClass: "lookup",
    workspace: plan.workspaces[0]?.path ?? "/",
    session: undefined,
    key: REGISTRATION_KEY,
    service: plan.services[0]?.service ?? "",
    prompt: "Register submission 114.",
    maxTokens: 1,
    deadlineMs: DEADLINE_MS,
  };
}

function registrationRunCount(cluster: Cluster): number {
  let count = 0;
  for (const service of cluster.site.services) {
    count += service.runCountOf(REGISTRATION_KEY);
  }
  return count;
}

function describeEnd(call: CallRecord): string {
  if (call.end === "refused") return `"${call.outcome}", ${call.reason}`;
  return call.end;
}

interface WithdrawalStep {
  readonly line: string;
  readonly fact: Withdrawal;
}

async function withdraw(
  cluster: Cluster,
  plan: SitePlan,
): Promise<WithdrawalStep> {
  const version = Object.keys(plan.qualityShares)[1] ?? "";
  const startMs = performance.now();
  await withdrawByCommand(cluster, version);
  const inForceMs = performance.now();
  const elapsedMs = Math.round(inForceMs - startMs);
  return {
    line: `withdrew ${version}: in force on all live VMs after ${elapsedMs} ms`,
    fact: { version, inForceMs },
  };
}

function evidenceOf(
  cluster: Cluster,
  load: LoadResult,
  extra: {
    readonly calls: readonly CallRecord[];
    readonly withdrawal: Withdrawal;
  },
): Evidence {
  const calls = [...load.calls, ...extra.calls];
  return {
    ...cluster.records(),
    calls: calls.toSorted((a, b) => a.sentMs - b.sentMs),
    tree: cluster.tree,
    withdrawals: [extra.withdrawal],
    leavingServers: [],
  };
}

function describeLoad(asked: readonly SentRequest[]): string[] {
  const complete = asked.filter((one) => one.last.end === "whole");
  const streamed = complete.filter((one) => one.request.kind === "model");
  const reasons = new Map<string, number>();
  for (const { last } of asked) {
    if (last.end === "whole") continue;
    const name = describeEnd(last);
    reasons.set(name, (reasons.get(name) ?? 0) + 1);
  }
  const lines = [
    `${asked.length} requests: ${streamed.length} complete streamed answers, ` +
    `${complete.length - streamed.length} answers of plain services`,
  ];
  for (const [name, count] of reasons) lines.push(`${count} ended as ${name}`);
  return lines;
}
