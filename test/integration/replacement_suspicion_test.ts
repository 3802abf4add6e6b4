/**
 * Stops a VM while every VM suspects the others, because their answers to
 * probes take longer than a probe period, as on a busy machine. A long answer
 * keeps the VM in its shutdown, where it still answers lists of entry VMs.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { fetch } from "undici";
import { z } from "zod";
import { Caller, type CallerRequest } from "../caller.ts";
import { Cluster } from "../cluster.ts";
import { type ClusterVm } from "../cluster_vm.ts";
import { readSitePlan, readTree, withEntryCount } from "../site_plan.ts";
import { waitFor } from "../wait.ts";

const SEED = 62;
const TEST_TIMEOUT_MS = 120_000;
/** The way there and back takes longer than the probe period of 200 ms. */
const PEER_DELAY_MS = 180;
/** The answer takes 60 tokens of 100 ms. */
const TOKEN_SLOWNESS = 20;
const REQUEST: CallerRequest = {
  requestId: "long-answer",
  kind: "model",
  requestClass: "drafting",
  workspace: "/khomas/heritage",
  session: undefined,
  key: undefined,
  service: "",
  prompt: "Describe the archive.",
  maxTokens: 60,
  deadlineMs: 30_000,
};
const LIST_PERIOD_MS = 10;
const MIN_LISTS = 100;

const listSchema = z.object({
  entries: z.array(z.object({ vm: z.string() })),
});

test("every list of a leaving VM names others while all are under suspicion", {
  timeout: TEST_TIMEOUT_MS,
}, async (context) => {
  const cluster = await Cluster.start({
    plan: withEntryCount(readSitePlan("kavango"), 3),
    tree: readTree("kavango"),
    seed: SEED,
    hasControllers: false,
  });
  context.after(() => cluster.close());
  const caller = new Caller();
  context.after(() => caller.close());
  const [old] = cluster.vms.values();
  assert.ok(old !== undefined);
  for (const { switches } of cluster.peerLinks()) {
    switches.delayMs = PEER_DELAY_MS;
  }
  for (const { switches } of cluster.site.engines) {
    switches.slowFactor = TOKEN_SLOWNESS;
  }
  const answer = caller.send(REQUEST, { entryOf: () => old.callerAddress });
  await waitFor(
    () => cluster.records().attempts.length > 0 ? true : undefined,
    { what: "attempt", timeoutMs: TEST_TIMEOUT_MS },
  );
  const retired = cluster.retireVm(old.name);
  const lists = await readListsOfLeaving(old);
  assert.deepEqual(await retired, [0]);
  assert.equal((await answer).end, "whole");
  assert.ok(lists.length > MIN_LISTS, `only ${lists.length} lists`);
  const faulty = lists.filter((names) =>
    names.length === 0 || names.includes(old.name)
  );
  assert.equal(faulty.length, 0, `${faulty.length} of ${lists.length} lists`);
});

/** Reads the lists of a VM from the beginning of its shutdown to its end. */
async function readListsOfLeaving(vm: ClusterVm): Promise<string[][]> {
  await waitFor(
    () => vm.entry.lines.find((line) => line["event"] === "shutdown began"),
    { what: "shutdown", timeoutMs: TEST_TIMEOUT_MS },
  );
  const lists: string[][] = [];
  while (!vm.entry.hasExited) {
    const names = await readNames(vm);
    if (names !== undefined) lists.push(names);
    await new Promise((resolve) => setTimeout(resolve, LIST_PERIOD_MS));
  }
  return lists;
}

async function readNames(vm: ClusterVm): Promise<string[] | undefined> {
  try {
    const answer = await fetch(`http://${vm.httpAddress}/v1/entries`);
    const { entries } = listSchema.parse(await answer.json());
    return entries.map((entry) => entry.vm);
  } catch {
    return undefined;
  }
}
