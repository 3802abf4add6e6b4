/** Tests of admission: fairness, priority of classes and early refusals. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ModelRequest } from "../model/mod.ts";
import {
  type Entry,
  Fixture,
  type Frames,
  framesOf,
  modelRequest,
  refusalOf,
  send,
  settle,
  silentUntil,
  WORKSPACE,
} from "./fixture_test.ts";

const OTHER = "/khomas/small" as const;

interface GatedEntry {
  readonly fixture: Fixture;
  readonly entry: Entry;
  /** Completes the running request. */
  readonly next: () => Promise<void>;
  /** Request ids in the order in which the engine received them. */
  readonly order: () => string[];
}

/** Creates an entry that runs one request at a time, each until `next()`. */
function gatedEntry(): GatedEntry {
  const fixture = new Fixture();
  let release = (): void => {};
  fixture.engines.script = async function* (call): Frames {
    await new Promise<void>((resolve) => release = resolve);
    yield* framesOf(call, ["a"]);
  };
  return {
    fixture,
    entry: fixture.entry("vm-1", { runningLimit: () => 1 }),
    next: async () => {
      release();
      await settle();
    },
    order: () => fixture.engines.calls.map((call) => call.requestId),
  };
}

async function start(entry: Entry, request: ModelRequest): Promise<void> {
  void send(entry, request).result;
  await settle();
}

test("a flood from one workspace does not delay another workspace", async () => {
  const { entry, next, order } = gatedEntry();
  for (let count = 0; count < 20; count += 1) {
    await start(entry, modelRequest({ requestId: `flood-${count}` }));
  }
  await start(entry, modelRequest({ requestId: "small", workspace: OTHER }));
  for (let count = 0; count < 3; count += 1) await next();
  assert.ok(order().includes("small"), order().join());
});

test("a lookup is admitted before a review that arrived earlier", async () => {
  const { entry, next, order } = gatedEntry();
  await start(entry, modelRequest({ requestId: "running" }));
  await start(
    entry,
    modelRequest({ requestId: "review", requestClass: "review" }),
  );
  await start(
    entry,
    modelRequest({ requestId: "lookup", requestClass: "lookup" }),
  );
  await next();
  assert.deepEqual(order(), ["running", "lookup"]);
});

test("a request whose deadline is shorter than the queue is refused at once", async () => {
  const { entry, order } = gatedEntry();
  for (let count = 0; count < 5; count += 1) {
    await start(entry, modelRequest());
  }
  const refusal = await refusalOf(
    send(entry, modelRequest({ deadlineMs: 50 })),
  );
  assert.equal(refusal.reason, "overloaded");
  assert.equal(refusal.outcome, "not_run");
  assert.ok((refusal.retryAfterMs ?? 0) > 0);
  assert.equal(order().length, 1);
});

test("a request whose deadline expires in the queue is refused at that time", async () => {
  const { fixture, entry } = gatedEntry();
  await start(entry, modelRequest({ deadlineMs: 100_000 }));
  const waiting = send(entry, modelRequest({ deadlineMs: 5000 }));
  await settle();
  await fixture.time.advance(5000);
  const refusal = await refusalOf(waiting);
  assert.equal(refusal.outcome, "not_run");
  assert.equal(entry.handler.status().waitingCount, 0);
});

test("a workspace is limited to its number of concurrent requests", async () => {
  const fixture = new Fixture();
  fixture.edit(WORKSPACE, { maxConcurrent: 1 });
  const entry = fixture.entry();
  fixture.engines.script = (_call, signal) => silentUntil(signal);
  await start(entry, modelRequest());
  await start(entry, modelRequest());
  assert.equal(entry.handler.status().runningCount, 1);
  assert.equal(entry.handler.status().waitingCount, 1);
});

test("a workspace is limited to its tokens per second", async () => {
  const fixture = new Fixture();
  fixture.edit(WORKSPACE, { maxTokensPerSecond: 10 });
  const entry = fixture.entry();
  const large = (): ModelRequest => modelRequest({ maxTokens: 1000 });
  assert.ok((await send(entry, large()).result).isOk());
  const refusal = await refusalOf(send(entry, large()));
  assert.equal(refusal.reason, "overloaded");
  fixture.time.nowMs += refusal.retryAfterMs ?? 0;
  assert.ok((await send(entry, large()).result).isOk());
});

test("a VM in shutdown refuses new requests and completes running ones", async () => {
  const { entry, next } = gatedEntry();
  const running = send(entry, modelRequest());
  await settle();
  entry.handler.stopAccepting();
  const refusal = await refusalOf(send(entry, modelRequest()));
  assert.equal(refusal.reason, "shutting_down");
  assert.equal(refusal.outcome, "not_run");
  await next();
  assert.ok((await running.result).isOk());
});
