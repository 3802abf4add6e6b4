/** Tests of idempotency keys: at most one run, and correct refusals. */
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

test("a retry receives the recorded outcome from any VM", async () => {
  const fixture = new Fixture();
  await send(fixture.entry("vm-1"), serviceRequest()).result;
  const retry = await send(fixture.entry("vm-2"), serviceRequest()).result;
  const answer = retry._unsafeUnwrap();
  assert.equal(answer.kind, "plain");
  assert.equal(
    answer.kind === "plain" && Buffer.from(answer.body).toString(),
    "registered",
  );
  assert.equal(fixture.services.calls.length, 1);
});

test("a retry of a keyed model request receives the recorded answer", async () => {
  const fixture = new Fixture();
  const keyed = { idempotencyKey: "k" };
  await send(fixture.entry("vm-1"), modelRequest(keyed)).result;
  const retry = send(fixture.entry("vm-2"), modelRequest(keyed));
  assert.ok((await retry.result).isOk());
  assert.equal(retry.received.text, "abc");
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

test("concurrent requests with one key at two VMs run once", async () => {
  const fixture = new Fixture();
  const sent = [
    send(fixture.entry("vm-1"), serviceRequest()),
    send(fixture.entry("vm-2"), serviceRequest()),
  ];
  const results = await Promise.all(sent.map((request) => request.result));
  assert.equal(fixture.services.calls.length, 1);
  assert.equal(results.filter((result) => result.isOk()).length, 1);
  const refused = results.find((result) => result.isErr());
  assert.equal(refused?._unsafeUnwrapErr().outcome, "may_have_run");
});

test("a claim of a crashed VM is never dispatched by another VM", async () => {
  const fixture = new Fixture();
  fixture.log.beforeAppend = (record) =>
    record.kind === "outcome" ? new Promise(() => {}) : Promise.resolve();
  void send(fixture.entry("vm-1"), serviceRequest()).result;
  await settle();
  fixture.log.beforeAppend = () => Promise.resolve();
  const retry = send(fixture.entry("vm-2"), serviceRequest());
  const refusal = await refusalOf(retry);
  assert.equal(refusal.reason, "key_in_use");
  assert.equal(refusal.outcome, "may_have_run");
  assert.equal(fixture.services.calls.length, 1);
});

for (const mode of ["down", "lost", "reply_lost"] as const) {
  test(`a claim is not dispatched while the log is "${mode}"`, async () => {
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
    const retry = await send(fixture.entry("vm-2"), serviceRequest()).result;
    assert.ok(retry.isOk(), "the key was not freed");
    assert.equal(fixture.services.calls.length, 1);
  });
}

test("a VM that resumes after the deadline of its claim dispatches nothing", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  let resume = (): void => {};
  fixture.log.beforeAppend = (record) =>
    record.kind === "claim"
      ? new Promise((resolve) => resume = resolve)
      : Promise.resolve();
  const sent = send(entry, serviceRequest());
  await settle();
  fixture.time.nowMs += 3_600_000;
  resume();
  const refusal = await refusalOf(sent);
  assert.equal(refusal.reason, "deadline_exceeded");
  assert.equal(refusal.outcome, "not_run");
  assert.equal(fixture.services.calls.length, 0);
});

test("a withdrawal while the claim is being confirmed takes effect", async () => {
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
