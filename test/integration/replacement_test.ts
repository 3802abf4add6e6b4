/**
 * Replaces every VM: one by one under load with graceful shutdown, and by
 * killing all of them at once, so that the state survives only in the log.
 */
import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { test, type TestContext } from "node:test";
import { Caller, type CallerRequest } from "../caller.ts";
import { Cluster } from "../cluster.ts";
import { type ClusterVm } from "../cluster_vm.ts";
import { type CallRecord } from "../evidence.ts";
import { checkInvariants } from "../invariants.ts";
import { type LoadResult, runLoad } from "../load.ts";
import { readSitePlan, readTree, withEntryCount } from "../site_plan.ts";
import { Workload } from "../workload.ts";

const SEED = 61;
const TEST_TIMEOUT_MS = 120_000;
const DEADLINE_MS = 10_000;
const LOAD_MS = 12_000;
const REQUESTS_PER_SECOND = 40;

async function start(context: TestContext): Promise<Cluster> {
  const cluster = await Cluster.start({
    plan: withEntryCount(readSitePlan("kavango"), 3),
    tree: readTree("kavango"),
    seed: SEED,
    hasControllers: true,
  });
  context.after(() => cluster.close());
  return cluster;
}

function assertPromisesHold(
  cluster: Cluster,
  calls: readonly CallRecord[],
): void {
  const violations = checkInvariants({
    ...cluster.records(),
    calls,
    tree: cluster.tree,
    withdrawals: [],
    leavingServers: [],
  });
  assert.deepEqual(violations, []);
}

/** Prints calls with the lists and the logs of their VMs, by the clock. */
function printCalls(
  context: TestContext,
  calls: readonly CallRecord[],
  { readLists, vms }: {
    readonly readLists: LoadResult["readLists"];
    readonly vms: readonly ClusterVm[];
  },
): void {
  const print = (value: unknown): void =>
    context.diagnostic(JSON.stringify(value));
  for (const { requestId, end, reason, cause, entry, ...times } of calls) {
    const sentAt = timeAt(times.sentMs);
    const endedAt = timeAt(times.endedMs);
    print({ requestId, end, reason, cause, entry, sentAt, endedAt });
  }
  if (calls.length === 0) return;
  for (const { place, vm, names, askedMs, answeredMs } of readLists) {
    const askedAt = timeAt(askedMs);
    print({ place, vm, names, askedAt, answeredAt: timeAt(answeredMs) });
  }
  for (const { callerAddress, entry } of vms) {
    if (!calls.some((call) => call.entry === callerAddress)) continue;
    print(callerAddress);
    for (const line of entry.lines) print(line);
  }
}

function timeAt(clockMs: number): string {
  return new Date(performance.timeOrigin + clockMs).toISOString();
}

test("every VM is replaced under load and no answer is cut", {
  timeout: TEST_TIMEOUT_MS,
}, async (context) => {
  const cluster = await start(context);
  const { plan } = cluster.site;
  const vms = [...cluster.vms.values()];
  const load = runLoad({
    cluster,
    workload: new Workload({
      plan,
      seed: SEED,
      deadlineMs: DEADLINE_MS,
      name: "replaced",
    }),
    requestsPerSecond: REQUESTS_PER_SECOND,
    durationMs: LOAD_MS,
  });
  for (const old of vms) {
    const replacement = await cluster.startVm(`${old.name}-new`, old.place);
    await cluster.waitReady(replacement);
    assert.deepEqual(await cluster.retireVm(old.name), [0, 0]);
  }
  const { requests, calls, readLists } = await load;
  const cut = calls.filter((call) => call.end === "cut");
  const refusedAtShutdown = calls.filter((call) =>
    call.reason === "shutting_down"
  );
  printCalls(context, [...cut, ...refusedAtShutdown], { readLists, vms });
  assert.deepEqual(cut.map((call) => call.requestId), []);
  assert.deepEqual(refusedAtShutdown.map((call) => call.requestId), []);
  assert.ok(requests.some((one) => one.last.end === "whole"));
  assertPromisesHold(cluster, calls);
});

test("an answered submission survives the loss of all VMs", {
  timeout: TEST_TIMEOUT_MS,
}, async (context) => {
  const cluster = await start(context);
  const caller = new Caller();
  context.after(() => caller.close());
  const first = await sendSubmission(cluster, caller);
  assert.equal(first.end, "whole");
  const old = [...cluster.vms.values()];
  await Promise.all(old.map((vm) => cluster.killVm(vm.name)));
  for (const vm of old) await cluster.unlistVm(vm.name);
  for (const vm of old) {
    await cluster.waitReady(
      await cluster.startVm(`${vm.name}-new`, vm.place),
    );
  }
  await cluster.waitInForce(cluster.seededRevision);
  const again = await sendSubmission(cluster, caller);
  assert.equal(again.end, "whole");
  assert.equal(again.text, first.text);
  const runs = cluster.site.services.flatMap((service) => service.recorded);
  assert.equal(runs.length, 1);
  assertPromisesHold(cluster, caller.calls);
});

function sendSubmission(cluster: Cluster, caller: Caller): Promise<CallRecord> {
  const addresses = [...cluster.vms.values()].map((vm) => vm.callerAddress);
  const request: CallerRequest = {
    requestId: "submission-7",
    kind: "service",
    requestClass: "lookup",
    workspace: "/khomas/heritage",
    session: undefined,
    key: "submission-7",
    service: "records-desk",
    prompt: "Register submission 7.",
    maxTokens: 1,
    deadlineMs: DEADLINE_MS,
  };
  return caller.send(request, {
    entryOf: (index) => addresses[index % addresses.length] ?? "",
  });
}
