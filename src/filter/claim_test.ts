/** Tests of idempotency keys: at most one run, and true refusals. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  BEST,
  CHEAP,
  Fixture,
  modelRequest,
  refusalOf,
  send,
  serviceRequest,
  settle,
  WORKSPACE,
} from "./fixture_test.ts";

test("a repeat gets the recorded outcome through any VM", async () => {
  const fixture = new Fixture();
  await send(fixture.entry("vm-1"), serviceRequest()).result;
  const repeat = await send(fixture.entry("vm-2"), serviceRequest()).result;
  const answer = repeat._unsafeUnwrap();
  assert.equal(answer.kind, "plain");
  assert.equal(
    answer.kind === "plain" && Buffer.from(answer.body).toString(),
    "registered",
  );
  assert.equal(fixture.services.calls.length, 1);
});

test("a keyed model request's answer is given again, not run again", async () => {
  const fixture = new Fixture();
  const keyed = { idempotencyKey: "k" };
  await send(fixture.entry("vm-1"), modelRequest(keyed)).result;
  const repeat = send(fixture.entry("vm-2"), modelRequest(keyed));
  assert.ok((await repeat.result).isOk());
  assert.equal(repeat.received.text, "abc");
  assert.equal(fixture.engines.calls.length, 1);
});

test("a key with another body is refused", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  await send(entry, serviceRequest()).result;
  const other = serviceRequest({ body: Buffer.from("another") });
  const refusal = await refusalOf(send(entry, other));
  assert.equal(refusal.reason, "key_reused");
  assert.equal(fixture.services.calls.length, 1);
});

test("two VMs with the same key at once run it once", async () => {
  const fixture = new Fixture();
  const sent = [
    send(fixture.entry("vm-1"), serviceRequest()),
    send(fixture.entry("vm-2"), serviceRequest()),
  ];
  const results = await Promise.all(sent.map((one) => one.result));
  assert.equal(fixture.services.calls.length, 1);
  assert.equal(results.filter((one) => one.isOk()).length, 1);
  const refused = results.find((one) => one.isErr());
  assert.equal(refused?._unsafeUnwrapErr().outcome, "may_have_run");
});

test("a claim whose VM died is never dispatched by another", async () => {
  const fixture = new Fixture();
  fixture.log.beforeAppend = (record) =>
    record.kind === "outcome" ? new Promise(() => {}) : Promise.resolve();
  void send(fixture.entry("vm-1"), serviceRequest()).result;
  await settle();
  fixture.log.beforeAppend = () => Promise.resolve();
  const repeat = send(fixture.entry("vm-2"), serviceRequest());
  const refusal = await refusalOf(repeat);
  assert.equal(refusal.reason, "key_in_use");
  assert.equal(refusal.outcome, "may_have_run");
  assert.equal(fixture.services.calls.length, 1);
});

for (const mode of ["down", "lost", "reply_lost"] as const) {
  test(`a claim is not dispatched with the log "${mode}"`, async () => {
    const fixture = new Fixture();
    const entry = fixture.entry();
    fixture.log.mode = mode;
    const refusal = await refusalOf(send(entry, serviceRequest()));
    assert.equal(refusal.reason, "log_unavailable");
    assert.equal(refusal.outcome, "not_run");
    assert.ok((refusal.retryAfterMs ?? 0) > 0);
    assert.equal(fixture.services.calls.length, 0);
    fixture.log.mode = "up";
    await entry.handler.flush();
    const repeat = await send(fixture.entry("vm-2"), serviceRequest()).result;
    assert.ok(repeat.isOk(), "the key is free again");
    assert.equal(fixture.services.calls.length, 1);
  });
}

test("a holder that wakes after its deadline sends nothing", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  let wake = (): void => {};
  fixture.log.beforeAppend = (record) =>
    record.kind === "claim"
      ? new Promise((resolve) => wake = resolve)
      : Promise.resolve();
  const sent = send(entry, serviceRequest());
  await settle();
  fixture.time.nowMs += 3_600_000;
  wake();
  const refusal = await refusalOf(sent);
  assert.equal(refusal.reason, "deadline_exceeded");
  assert.equal(refusal.outcome, "not_run");
  assert.equal(fixture.services.calls.length, 0);
});

test("a withdrawal during the wait for the claim is obeyed", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  fixture.log.beforeAppend = (record) => {
    if (record.kind === "claim") {
      fixture.edit(WORKSPACE, {
        withdrawn: [CHEAP, BEST].map((version) => ({
          version,
          running: "finish",
        })),
      });
    }
    return Promise.resolve();
  };
  const sent = send(entry, modelRequest({ idempotencyKey: "k" }));
  const refusal = await refusalOf(sent);
  assert.equal(refusal.reason, "version_withdrawn");
  assert.equal(refusal.outcome, "not_run");
  assert.equal(fixture.engines.calls.length, 0);
});

test("a refusal before dispatch frees the key", async () => {
  const fixture = new Fixture({ services: [] });
  const entry = fixture.entry();
  fixture.edit("/", { services: ["records"] });
  fixture.log.beforeAppend = (record) => {
    if (record.kind === "claim") fixture.edit("/", { services: [] });
    return Promise.resolve();
  };
  const refused = await refusalOf(send(entry, serviceRequest()));
  assert.equal(refused.outcome, "not_run");
  fixture.log.beforeAppend = () => Promise.resolve();
  fixture.edit("/", { services: ["records"] });
  assert.ok((await send(entry, serviceRequest()).result).isOk());
  assert.equal(fixture.services.calls.length, 1);
});
