/** Tests of calls to plain services: retries and refusals. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok } from "neverthrow";
import { ServiceError, type ServiceFault } from "../client/mod.ts";
import { Fixture, refusalOf, send, serviceRequest } from "./fixture_test.ts";
import { DEFAULT_FILTER_LIMITS } from "./limits.ts";

function failFirstCall(fixture: Fixture, fault: ServiceFault): void {
  const answer = fixture.services.script;
  let count = 0;
  fixture.services.script = () => {
    count += 1;
    return count === 1 ? err(new ServiceError(fault, fault)) : answer();
  };
}

for (const fault of ["broken", "silent"] as const) {
  test(`a registration that fails with "${fault}" is not retried`, async () => {
    const fixture = new Fixture();
    failFirstCall(fixture, fault);
    const entry = fixture.entry();
    const refusal = await refusalOf(send(entry, serviceRequest()));
    assert.equal(refusal.outcome, "may_have_run");
    const retried = await refusalOf(send(entry, serviceRequest()));
    assert.equal(retried.outcome, "may_have_run");
    assert.equal(fixture.services.calls.length, 1);
  });
}

test("a registration of which no byte was sent is retried on another server", async () => {
  const fixture = new Fixture();
  failFirstCall(fixture, "unreachable");
  const result = await send(fixture.entry(), serviceRequest()).result;
  assert.ok(result.isOk());
  const [first, second] = fixture.services.calls;
  assert.notEqual(first?.address, second?.address);
});

for (const fault of ["broken", "silent"] as const) {
  test(`a lookup that fails with "${fault}" is retried on another server`, async () => {
    const fixture = new Fixture();
    failFirstCall(fixture, fault);
    const lookup = serviceRequest({ method: "GET", idempotencyKey: undefined });
    assert.ok((await send(fixture.entry(), lookup).result).isOk());
    const [first, second] = fixture.services.calls;
    assert.notEqual(first?.address, second?.address);
    assert.equal(second?.isFresh, true);
  });
}

test("only a retriable call times out before the deadline", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  const lookup = serviceRequest({ method: "GET", idempotencyKey: undefined });
  const responseTimeoutMs = DEFAULT_FILTER_LIMITS.silence.lookup.firstByteMs;
  for (const request of [lookup, serviceRequest()]) {
    assert.ok((await send(entry, request).result).isOk());
  }
  assert.deepEqual(
    fixture.services.calls.map((call) => call.timeoutMs),
    [responseTimeoutMs, 10_000],
  );
});

test("a call to an unreachable service is refused as not run", async () => {
  const fixture = new Fixture();
  fixture.services.script = () => err(new ServiceError("unreachable", "down"));
  const refusal = await refusalOf(send(fixture.entry(), serviceRequest()));
  assert.equal(refusal.reason, "no_backend_server");
  assert.equal(refusal.outcome, "not_run");
});

test("a call to a service not allowed in the workspace is refused", async () => {
  const fixture = new Fixture();
  const other = serviceRequest({ service: "ledger" });
  const refusal = await refusalOf(send(fixture.entry(), other));
  assert.equal(refusal.reason, "unauthorized");
  assert.equal(fixture.services.calls.length, 0);
});

test("an error response of a service is relayed and recorded", async () => {
  const fixture = new Fixture();
  fixture.services.script = () =>
    ok({
      status: 500,
      contentType: "text/plain",
      body: Buffer.from("no"),
      report: undefined,
    });
  const entry = fixture.entry();
  for (const _ of [1, 2]) {
    const answer = (await send(entry, serviceRequest()).result)
      ._unsafeUnwrap();
    assert.equal(answer.kind === "plain" && answer.status, 500);
  }
  assert.equal(fixture.services.calls.length, 1);
});
