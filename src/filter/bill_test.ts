/** Tests of billing: one bill per request, also while the log is down. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ok } from "neverthrow";
import { type RecordOf } from "../state/mod.ts";
import {
  BEST,
  CHEAP,
  Fixture,
  frameOf,
  type Frames,
  framesOf,
  modelRequest,
  refusalOf,
  send,
  serviceRequest,
  settle,
  silentUntil,
} from "./fixture_test.ts";
import { DEFAULT_FILTER_LIMITS } from "./limits.ts";

function billsOf(fixture: Fixture): RecordOf<"bill">[] {
  return fixture.log.records.filter((record) => record.kind === "bill");
}

test("the end of an answer is released after its bill is confirmed", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  let confirm = (): void => {};
  fixture.log.beforeAppend = () => new Promise((resolve) => confirm = resolve);
  const sent = send(entry, modelRequest());
  let isEnded = false;
  void sent.result.then(() => isEnded = true);
  await settle();
  assert.equal(sent.received.text, "abc");
  assert.equal(isEnded, false);
  confirm();
  await settle();
  assert.equal(isEnded, true);
});

test("while the log is down a bill is stored locally and at a peer, and counts once", async () => {
  const fixture = new Fixture();
  const peer = fixture.entry("vm-2");
  const entry = fixture.entry("vm-1", {
    holdAtPeer: (bill) => Promise.resolve(peer.handler.holdForPeer(bill)),
  });
  const request = modelRequest();
  fixture.log.mode = "down";
  assert.ok((await send(entry, request).result).isOk());
  assert.equal(entry.handler.status().heldBillCount, 1);
  assert.equal(peer.handler.status().heldBillCount, 1);
  fixture.log.mode = "up";
  await entry.handler.flush();
  await peer.handler.flush();
  assert.equal(billsOf(fixture).length, 2);
  assert.equal(new Set(billsOf(fixture).map((bill) => bill.id)).size, 1);
  assert.equal(entry.handler.status().heldBillCount, 0);
});

test("a bill whose reply was lost is appended again and counts once", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  const request = modelRequest();
  fixture.log.mode = "reply_lost";
  await send(entry, request).result;
  fixture.log.mode = "up";
  await entry.handler.flush();
  assert.equal(new Set(billsOf(fixture).map((bill) => bill.id)).size, 1);
  assert.equal(
    entry.journal.billOf(request.workspace, request.requestId)?.priceMicroEur,
    13,
  );
});

test("a request is refused before it runs while the outbox is full", async () => {
  const fixture = new Fixture();
  const limits = { ...DEFAULT_FILTER_LIMITS, maxOutboxRecords: 2 };
  const entry = fixture.entry("vm-1", { limits });
  fixture.log.mode = "down";
  await send(entry, modelRequest()).result;
  await send(entry, modelRequest()).result;
  const refusal = await refusalOf(send(entry, modelRequest()));
  assert.equal(refusal.reason, "outbox_full");
  assert.equal(refusal.outcome, "not_run");
  assert.equal(fixture.engines.calls.length, 2);
});

test("running requests reserve outbox capacity for their bills", async () => {
  const fixture = new Fixture();
  const limits = { ...DEFAULT_FILTER_LIMITS, maxOutboxRecords: 1 };
  const entry = fixture.entry("vm-1", { limits });
  fixture.engines.script = (_call, signal) => silentUntil(signal);
  void send(entry, modelRequest()).result;
  await settle();
  const refusal = await refusalOf(send(entry, modelRequest()));
  assert.equal(refusal.reason, "outbox_full");
});

test("a disconnect of the caller stops the engine and bills its output so far", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  fixture.engines.script = async function* (call, signal): Frames {
    yield ok(frameOf(call, { index: 0, text: "a", count: 3 }));
    yield ok(frameOf(call, { index: 1, text: "b", count: 3 }));
    yield* silentUntil(signal);
  };
  const request = modelRequest();
  const sent = send(entry, request);
  await settle();
  sent.callerAbort.abort();
  const refusal = await refusalOf(sent);
  assert.equal(refusal.reason, "cancelled");
  assert.deepEqual(fixture.engines.cancelled, [request.requestId]);
  const bill = entry.journal.billOf(request.workspace, request.requestId);
  assert.equal(bill?.lines[0]?.outputTokens, 2);
});

test("the attempts of a cascade are lines of one bill", async () => {
  const fixture = new Fixture({ cascade: "before_relay" });
  const entry = fixture.entry("vm-1", {
    shouldEscalate: ({ answer }) => Promise.resolve(answer.version === CHEAP),
  });
  fixture.engines.script = (call) => framesOf(call, [call.version]);
  const request = modelRequest();
  const sent = send(entry, request);
  assert.ok((await sent.result).isOk());
  assert.equal(sent.received.text, BEST);
  const bill = entry.journal.billOf(request.workspace, request.requestId);
  assert.deepEqual(bill?.lines.map((line) => line.version), [CHEAP, BEST]);
  assert.equal(billsOf(fixture).length, 1);
});

test("a service call is billed before its outcome is recorded", async () => {
  const fixture = new Fixture();
  await send(fixture.entry(), serviceRequest()).result;
  const kinds = fixture.log.records.map((record) => record.kind);
  assert.deepEqual(kinds, ["edit", "claim", "bill", "outcome"]);
});
