/** Tests of dispatch: frame checks, retries, resumption and withdrawals. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, type Result } from "neverthrow";
import { EngineError, type EngineFault } from "../client/mod.ts";
import {
  CHEAP,
  type Entry,
  Fixture,
  frameOf,
  type Frames,
  framesOf,
  modelRequest,
  type ReceivedCall,
  refusalOf,
  send,
  settle,
  silentUntil,
  WORKSPACE,
} from "./fixture_test.ts";

const WORDS = ["a", "b", "c", "d"];

function frame(call: ReceivedCall, index: number): ReturnType<typeof frameOf> {
  return frameOf(call, { index, text: WORDS[index] ?? "", count: 4 });
}

function errOf(fault: EngineFault): Result<never, EngineError> {
  return err(new EngineError(fault, fault));
}

async function answerOf(entry: Entry, fields = {}): Promise<string> {
  const sent = send(entry, modelRequest(fields));
  const result = await sent.result;
  assert.ok(result.isOk(), JSON.stringify(result));
  assert.deepEqual(sent.received.indices, [0, 1, 2, 3]);
  return sent.received.text;
}

test("crossed, late, duplicate and surplus frames are not relayed", async () => {
  const fixture = new Fixture();
  fixture.engines.script = async function* (call): Frames {
    yield ok({ ...frame(call, 0), requestId: "another", text: "X" });
    yield ok({ ...frame(call, 0), attempt: call.attempt - 1, text: "X" });
    yield ok(frame(call, 0));
    yield ok({ ...frame(call, 0), text: "X" });
    yield ok(frame(call, 1));
    yield ok(frame(call, 2));
    yield ok(frame(call, 3));
    yield ok({ ...frame(call, 3), index: 4, text: "X" });
  };
  assert.equal(await answerOf(fixture.entry()), "abcd");
  assert.equal(fixture.engines.calls.length, 1);
});

test("a missing frame is requested again, not skipped", async () => {
  const fixture = new Fixture();
  fixture.engines.script = async function* (call): Frames {
    if (call.attempt > 0) return yield* framesOf(call, WORDS);
    yield ok(frame(call, 0));
    yield ok(frame(call, 2));
    yield ok(frame(call, 3));
  };
  assert.equal(await answerOf(fixture.entry()), "abcd");
  assert.equal(fixture.engines.calls[1]?.fromIndex, 1);
});

test("a stream that ends early is resumed at another server", async () => {
  const fixture = new Fixture();
  fixture.engines.script = async function* (call): Frames {
    if (call.attempt > 0) return yield* framesOf(call, WORDS);
    yield ok(frame(call, 0));
    yield ok(frame(call, 1));
  };
  const entry = fixture.entry();
  const request = modelRequest();
  const sent = send(entry, request);
  assert.ok((await sent.result).isOk());
  assert.equal(sent.received.text, "abcd");
  const [first, second] = fixture.engines.calls;
  assert.notEqual(first?.address, second?.address);
  assert.equal(second?.prefix, "ab");
  assert.equal(second?.version, first?.version);
  const line = entry.journal.billOf(request.workspace, request.requestId)
    ?.lines[0];
  assert.deepEqual([line?.inputTokens, line?.outputTokens], [10, 4]);
});

test("a silent stream is resumed on a new connection to its server", async () => {
  const fixture = new Fixture();
  fixture.engines.script = async function* (call): Frames {
    if (call.attempt > 0) return yield* framesOf(call, WORDS);
    yield ok(frame(call, 0));
    yield errOf("silent");
  };
  assert.equal(await answerOf(fixture.entry()), "abcd");
  const [first, second] = fixture.engines.calls;
  assert.equal(second?.address, first?.address);
  assert.equal(second?.isFresh, true);
  assert.equal(second?.fromIndex, 1);
});

test("the only server is retried on a new connection", async () => {
  const fixture = new Fixture({ drainedServers: ["e-2"] });
  fixture.engines.script = (call) =>
    call.attempt === 0
      ? new EngineError("silent", "half-open")
      : framesOf(call, WORDS);
  assert.equal(await answerOf(fixture.entry()), "abcd");
  const [first, second] = fixture.engines.calls;
  assert.equal(second?.address, first?.address);
  assert.equal(second?.isFresh, true);
});

test("a server that is silent twice is replaced by another", async () => {
  const fixture = new Fixture();
  fixture.engines.script = async function* (call): Frames {
    if (call.attempt > 1) return yield* framesOf(call, WORDS);
    yield ok(frame(call, call.fromIndex));
    yield errOf("silent");
  };
  assert.equal(await answerOf(fixture.entry()), "abcd");
  const [first, , third] = fixture.engines.calls;
  assert.notEqual(third?.address, first?.address);
  assert.equal(third?.fromIndex, 2);
});

test("streams resume elsewhere once a silent server's breaker opens", async () => {
  const fixture = new Fixture();
  const silent = new Set<string>();
  fixture.engines.script = async function* (call): Frames {
    if (silent.size === 0) silent.add(call.address);
    if (!silent.has(call.address)) return yield* framesOf(call, WORDS);
    yield ok(frame(call, call.fromIndex));
    yield errOf("silent");
  };
  const entry = fixture.entry();
  for (let count = 0; count < 4; count += 1) {
    assert.equal(await answerOf(entry), "abcd");
  }
  const [address = ""] = silent;
  const silentCalls = fixture.engines.calls.filter((call) =>
    call.address === address
  );
  assert.equal(silentCalls.length, 3);
});

test("a version without a server is replaced by an allowed one", async () => {
  const fixture = new Fixture();
  fixture.engines.script = (call) =>
    call.version === CHEAP
      ? new EngineError("not_loaded", "not loaded")
      : framesOf(call, WORDS);
  const entry = fixture.entry();
  assert.equal(await answerOf(entry), "abcd");
  const session = modelRequest({ session: "s-1" });
  const refusal = await refusalOf(send(entry, session));
  assert.equal(refusal.outcome, "not_run");
});

for (const fault of ["busy", "not_loaded", "leaving", "unreachable"] as const) {
  test(`requests are refused as not run if all servers are "${fault}"`, async () => {
    const fixture = new Fixture({ allowed: [CHEAP] });
    fixture.engines.script = () => new EngineError(fault, fault);
    const refusal = await refusalOf(send(fixture.entry(), modelRequest()));
    assert.equal(refusal.outcome, "not_run");
    assert.ok((refusal.retryAfterMs ?? 0) > 0);
    assert.equal(fixture.engines.calls.length, 2);
  });
}

test("a request fails if every server breaks its stream", async () => {
  const fixture = new Fixture();
  fixture.engines.script = () => new EngineError("broken", "reset");
  const refusal = await refusalOf(send(fixture.entry(), modelRequest()));
  assert.equal(refusal.outcome, "failed");
  assert.equal(refusal.reason, "backend_failed");
});

test("a keyed request is not retried once it may have run", async () => {
  const fixture = new Fixture();
  fixture.engines.script = () => new EngineError("broken", "reset");
  const keyed = modelRequest({ idempotencyKey: "k" });
  const refusal = await refusalOf(send(fixture.entry(), keyed));
  assert.equal(refusal.outcome, "may_have_run");
  assert.equal(fixture.engines.calls.length, 1);
});

test("a retry respects a withdrawal made since the first attempt", async () => {
  const fixture = new Fixture();
  fixture.engines.script = () => {
    fixture.edit(WORKSPACE, {
      withdrawn: [{ version: CHEAP, running: "finish" }],
    });
    return new EngineError("broken", "reset");
  };
  const refusal = await refusalOf(send(fixture.entry(), modelRequest()));
  assert.equal(refusal.reason, "version_withdrawn");
  assert.equal(fixture.engines.calls.length, 1);
});

test("a withdrawal with stop ends a running answer as failed", async () => {
  const fixture = new Fixture();
  fixture.engines.script = async function* (call, signal): Frames {
    yield ok(frame(call, 0));
    yield* silentUntil(signal);
  };
  const sent = send(fixture.entry(), modelRequest());
  await settle();
  fixture.edit(WORKSPACE, { withdrawn: [{ version: CHEAP, running: "stop" }] });
  const refusal = await refusalOf(sent);
  assert.equal(refusal.reason, "version_withdrawn");
  assert.equal(refusal.outcome, "failed");
});

test("a withdrawal with finish lets a running answer complete", async () => {
  const fixture = new Fixture();
  fixture.engines.script = async function* (call): Frames {
    yield ok(frame(call, 0));
    fixture.edit(WORKSPACE, {
      withdrawn: [{ version: CHEAP, running: "finish" }],
    });
    yield* framesOf({ ...call, fromIndex: 1 }, WORDS);
  };
  assert.equal(await answerOf(fixture.entry()), "abcd");
});

test("retries during an outage stay within the retry budget", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  fixture.engines.script = () => new EngineError("busy", "busy");
  for (let count = 0; count < 200; count += 1) {
    await send(entry, modelRequest()).result;
  }
  const retryCount = fixture.engines.calls.length - 200;
  assert.ok(retryCount <= 20 + 200 * 0.1, `${retryCount} retries`);
});

test("the deadline ends a request while the engine is silent", async () => {
  const fixture = new Fixture();
  fixture.engines.script = (_call, signal) => silentUntil(signal);
  const sent = send(fixture.entry(), modelRequest({ deadlineMs: 500 }));
  await settle();
  await fixture.time.advance(500);
  const refusal = await refusalOf(sent);
  assert.equal(refusal.reason, "deadline_exceeded");
  assert.equal(refusal.outcome, "failed");
});
