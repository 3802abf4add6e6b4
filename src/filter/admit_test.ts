/** Tests of admission: fairness, urgency, and refusals at once. */
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

interface Gated {
  readonly fixture: Fixture;
  readonly entry: Entry;
  /** Lets the running request end. */
  readonly next: () => Promise<void>;
  /** Ids in the order in which the engine saw them. */
  readonly order: () => string[];
}

/** An entry that runs one request at a time, each until it is let go. */
function gatedEntry(): Gated {
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

test("a workspace that floods does not hold up another", async () => {
  const { entry, next, order } = gatedEntry();
  for (let count = 0; count < 20; count += 1) {
    await start(entry, modelRequest({ requestId: `flood-${count}` }));
  }
  await start(entry, modelRequest({ requestId: "small", workspace: OTHER }));
  for (let count = 0; count < 3; count += 1) await next();
  assert.ok(order().includes("small"), order().join());
});

test("a lookup goes before reviews that came first", async () => {
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

test("a deadline shorter than the queue is refused at once", async () => {
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

test("a request whose deadline passes in the queue is answered then", async () => {
  const { fixture, entry } = gatedEntry();
  await start(entry, modelRequest({ deadlineMs: 100_000 }));
  const waiting = send(entry, modelRequest({ deadlineMs: 5000 }));
  await settle();
  await fixture.time.advance(5000);
  const refusal = await refusalOf(waiting);
  assert.equal(refusal.outcome, "not_run");
  assert.equal(entry.handler.status().waitingCount, 0);
});

test("a workspace keeps to its own number at once", async () => {
  const fixture = new Fixture();
  fixture.edit(WORKSPACE, { maxConcurrent: 1 });
  const entry = fixture.entry();
  fixture.engines.script = (_call, signal) => silentUntil(signal);
  await start(entry, modelRequest());
  await start(entry, modelRequest());
  assert.equal(entry.handler.status().runningCount, 1);
  assert.equal(entry.handler.status().waitingCount, 1);
});

test("a workspace keeps to its tokens per second", async () => {
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

test("a leaving VM refuses new work and ends what runs", async () => {
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
