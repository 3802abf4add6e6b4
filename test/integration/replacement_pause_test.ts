/**
 * Pauses a VM in its shutdown, as a busy machine does, while requests reach it
 * in time: callers still hold its address within the max age of their lists.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Caller, type CallerRequest } from "../caller.ts";
import { Cluster } from "../cluster.ts";
import { readSitePlan, readTree, withEntryCount } from "../site_plan.ts";
import { waitFor } from "../wait.ts";

const SEED = 63;
const TEST_TIMEOUT_MS = 60_000;
/** Longer than callers may hold the address: 1000 ms and 3 probe periods. */
const PAUSE_MS = 2500;
const REQUEST_COUNT = 20;

test("requests that reach a paused VM in time are answered in its shutdown", {
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
  const retired = cluster.retireVm(old.name);
  await waitFor(
    () => old.entry.lines.find((line) => line["event"] === "shutdown began"),
    { what: "shutdown", timeoutMs: TEST_TIMEOUT_MS },
  );
  old.entry.signal("SIGSTOP");
  const answers = Array.from(
    { length: REQUEST_COUNT },
    (_, index) =>
      caller.send(requestOf(index), { entryOf: () => old.callerAddress }),
  );
  await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  old.entry.signal("SIGCONT");
  const calls = await Promise.all(answers);
  assert.deepEqual(await retired, [0]);
  const unanswered = calls.filter((call) => call.end !== "whole")
    .map(({ end, reason }) => `${end} ${reason}`);
  assert.deepEqual(unanswered, []);
});

function requestOf(index: number): CallerRequest {
  return {
    requestId: `paused-${index}`,
    kind: "model",
    requestClass: "drafting",
    workspace: "/khomas/heritage",
    session: undefined,
    key: undefined,
    service: "",
    prompt: "Describe the archive.",
    maxTokens: 5,
    deadlineMs: 10_000,
  };
}
