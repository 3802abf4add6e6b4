/**
 * Kills an entry VM at the points where a promise depends on a single record:
 * between claim and dispatch, between dispatch and outcome, and between the
 * last frame and the bill.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { decodeEntry, type RecordKind } from "../../src/state/mod.ts";
import { Caller, type CallerRequest } from "../caller.ts";
import { Cluster } from "../cluster.ts";
import { type CallRecord } from "../evidence.ts";
import { checkInvariants } from "../invariants.ts";
import { readSitePlan, readTree, withEntryCount } from "../site_plan.ts";
import { waitFor } from "../wait.ts";

const TEST_TIMEOUT_MS = 60_000;
const STATE_TIMEOUT_MS = 10_000;
const DEADLINE_MS = 8000;

interface Fixture {
  readonly cluster: Cluster;
  readonly caller: Caller;
}

async function start(context: TestContext): Promise<Fixture> {
  const cluster = await Cluster.start({
    plan: withEntryCount(readSitePlan("kavango"), 3),
    tree: readTree("kavango"),
    seed: 1,
    hasControllers: false,
  });
  const caller = new Caller();
  context.after(async () => {
    await caller.close();
    await cluster.close();
  });
  return { cluster, caller };
}

function requestOf(fields: Partial<CallerRequest>): CallerRequest {
  return {
    requestId: "r-1",
    kind: "service",
    requestClass: "lookup",
    workspace: "/khomas/heritage",
    session: undefined,
    key: "submission-1",
    service: "records-desk",
    prompt: "Register.",
    maxTokens: 20,
    deadlineMs: DEADLINE_MS,
    ...fields,
  };
}

/** Sends a request to the first VM, then to the others in turn. */
function sendToFirst(
  fixture: Fixture,
  request: CallerRequest,
): Promise<CallRecord> {
  const addresses = [...fixture.cluster.vms.values()]
    .map((vm) => vm.callerAddress);
  return fixture.caller.send(request, {
    entryOf: (index) => addresses[index % addresses.length] ?? "",
  });
}

function hasRecord(cluster: Cluster, kind: RecordKind): true | undefined {
  const isFound = cluster.site.log.recorded.appends.some((append) =>
    decodeEntry(append.offset, append.payload).records
      .some((record) => record.kind === kind)
  );
  return isFound ? true : undefined;
}

async function waitUntil(
  what: string,
  probe: () => true | undefined,
): Promise<void> {
  await waitFor(probe, { what, timeoutMs: STATE_TIMEOUT_MS });
}

async function killFirst({ cluster }: Fixture): Promise<void> {
  await cluster.killVm([...cluster.vms.keys()][0] ?? "");
}

function runCount(cluster: Cluster): number {
  return cluster.site.services.flatMap((service) => service.recorded).length;
}

function assertPromisesHold(fixture: Fixture): void {
  const { cluster, caller } = fixture;
  const violations = checkInvariants({
    ...cluster.records(),
    calls: caller.calls,
    tree: cluster.tree,
    withdrawals: [],
    leavingServers: [],
  });
  assert.deepEqual(violations, []);
}

test("a kill between claim and dispatch never runs a request twice", {
  timeout: TEST_TIMEOUT_MS,
}, async (context) => {
  const fixture = await start(context);
  const { cluster } = fixture;
  for (const [name, link] of cluster.site.links) {
    if (name.includes("records-desk")) link.switches.silent = ["up", "down"];
  }
  const pendingCall = sendToFirst(fixture, requestOf({}));
  await waitUntil("claim", () => hasRecord(cluster, "claim"));
  await killFirst(fixture);
  for (const link of cluster.site.links.values()) link.heal();
  const call = await pendingCall;
  assert.notEqual(call.outcome, "not_run");
  assert.ok(runCount(cluster) <= 1);
  assertPromisesHold(fixture);
});

test("a kill between dispatch and outcome reports may_have_run", {
  timeout: TEST_TIMEOUT_MS,
}, async (context) => {
  const fixture = await start(context);
  const { cluster } = fixture;
  for (const service of cluster.site.services) {
    service.switches.silentAfterEffectCount = 1;
  }
  const pendingCall = sendToFirst(fixture, requestOf({}));
  await waitUntil("run", () => runCount(cluster) > 0 ? true : undefined);
  await killFirst(fixture);
  const call = await pendingCall;
  assert.equal(call.outcome, "may_have_run");
  assert.equal(runCount(cluster), 1);
  assertPromisesHold(fixture);
});

test("a kill between last frame and bill leaves exactly one bill", {
  timeout: TEST_TIMEOUT_MS,
}, async (context) => {
  const fixture = await start(context);
  const { cluster } = fixture;
  cluster.site.log.switches.isDown = true;
  const pendingCall = sendToFirst(
    fixture,
    requestOf({ kind: "model", key: undefined, requestClass: "drafting" }),
  );
  const attemptsOf = () =>
    cluster.site.engines.flatMap((one) => one.recorded.attempts);
  let ended: unknown;
  void pendingCall.then((call) => ended = call);
  await waitUntil("last frame", () => {
    const isDone = attemptsOf().some((one) => one.outcome === "done");
    return isDone ? true : undefined;
  }).catch((error: Error) => {
    const details = JSON.stringify({ ended, attempts: attemptsOf() });
    throw new Error(`${error.message}: ${details}`);
  });
  await killFirst(fixture);
  cluster.site.log.switches.isDown = false;
  const call = await pendingCall;
  assert.equal(call.end, "whole");
  await waitUntil("bill", () => hasRecord(cluster, "bill"));
  assertPromisesHold(fixture);
});
