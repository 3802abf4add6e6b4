/** Tests of the complete filter chain with an in-memory log. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  BEST,
  CHEAP,
  Fixture,
  modelRequest,
  refusalOf,
  send,
  WORKSPACE,
} from "./fixture_test.ts";

test("an answer arrives complete, in order, and is billed once", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  const request = modelRequest();
  const sent = send(entry, request);
  assert.ok((await sent.result).isOk());
  assert.equal(sent.received.text, "abc");
  assert.deepEqual(sent.received.indices, [0, 1, 2]);
  const bill = entry.journal.billOf(request.workspace, request.requestId);
  assert.equal(bill?.priceMicroEur, 13);
  assert.equal(bill?.lines[0]?.version, CHEAP);
});

test("a workspace without an allowed version is refused as not run", async () => {
  const fixture = new Fixture();
  fixture.edit(WORKSPACE, { allowed: [] });
  const refusal = await refusalOf(send(fixture.entry(), modelRequest()));
  assert.equal(refusal.reason, "no_allowed_version");
  assert.equal(refusal.outcome, "not_run");
  assert.equal(fixture.engines.calls.length, 0);
});

test("stale settings refuse requests where the settings require it", async () => {
  const fixture = new Fixture({ staleSettings: "refuse", staleAfterMs: 1000 });
  const entry = fixture.entry();
  entry.journal.currentFreshness = { ageMs: 1001, isLogReachable: false };
  const refusal = await refusalOf(send(entry, modelRequest()));
  assert.equal(refusal.reason, "settings_stale");
  assert.equal(refusal.outcome, "not_run");
});

test("a session keeps its version, on any VM", async () => {
  const fixture = new Fixture();
  const request = modelRequest({ session: "s-1" });
  const first = send(fixture.entry("vm-1"), request);
  await first.result;
  assert.equal(first.received.version, CHEAP);
  fixture.edit(WORKSPACE, { allowed: [BEST, CHEAP] });
  const second = send(fixture.entry("vm-2"), modelRequest({ session: "s-1" }));
  await second.result;
  assert.equal(second.received.version, CHEAP);
});
