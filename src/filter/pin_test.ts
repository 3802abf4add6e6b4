/** Tests of sessions: one version throughout, never a silent switch. */
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
import { signSession, verifySession } from "./session_token.ts";

const SESSION = "/khomas/heritage/s-1" as const;

test("a session whose pinned version was withdrawn is refused", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  await send(entry, modelRequest({ session: "s-1" })).result;
  fixture.edit(WORKSPACE, {
    withdrawn: [{ version: CHEAP, running: "finish" }],
  });
  const next = send(entry, modelRequest({ session: "s-1" }));
  const refusal = await refusalOf(next);
  assert.equal(refusal.reason, "version_withdrawn");
  assert.equal(refusal.outcome, "not_run");
  assert.equal(fixture.engines.calls.length, 1);
});

test("a VM without the pin takes the version from the session token", async () => {
  const fixture = new Fixture();
  const first = send(fixture.entry("vm-1"), modelRequest({ session: "s-1" }));
  await first.result;
  const other = new Fixture({ allowed: [BEST, CHEAP] });
  other.log.mode = "down";
  const token = first.received.sessionToken;
  const second = send(
    other.entry("vm-2"),
    modelRequest({ session: "s-1" }),
    token,
  );
  await second.result;
  assert.equal(second.received.version, CHEAP);
  assert.equal(other.engines.calls[0]?.version, CHEAP);
});

test("with the log down a session starts and is pinned later", async () => {
  const fixture = new Fixture();
  const entry = fixture.entry();
  fixture.log.mode = "down";
  const sent = send(entry, modelRequest({ session: "s-1" }));
  assert.ok((await sent.result).isOk());
  fixture.log.mode = "up";
  await entry.handler.flush();
  assert.equal(entry.journal.requests("").pinOf(SESSION), CHEAP);
});

test("a pin that another VM recorded first wins", async () => {
  const fixture = new Fixture();
  fixture.log.beforeAppend = (record) => {
    if (record.kind === "pin") {
      fixture.log.push({ ...record, id: "other", version: BEST });
    }
    return Promise.resolve();
  };
  const sent = send(fixture.entry(), modelRequest({ session: "s-1" }));
  await sent.result;
  assert.equal(sent.received.version, BEST);
});

test("a session does not escalate to another model", async () => {
  const fixture = new Fixture({ cascade: "before_relay" });
  const shouldEscalate = (): Promise<boolean> => Promise.resolve(true);
  const entry = fixture.entry("vm-1", { shouldEscalate });
  await send(entry, modelRequest({ session: "s-1" })).result;
  assert.equal(fixture.engines.calls.length, 1);
});

test("a token is bound to its session and its key", () => {
  const token = signSession(SESSION, CHEAP, ["new", "old"]);
  assert.equal(verifySession(token, SESSION, ["newer", "new"]), CHEAP);
  assert.equal(verifySession(token, `${SESSION}x`, ["new"]), undefined);
  assert.equal(verifySession(token, SESSION, ["other"]), undefined);
  assert.equal(verifySession(`${token}x`, SESSION, ["new"]), undefined);
  assert.equal(verifySession("", SESSION, ["new"]), undefined);
  assert.equal(signSession(SESSION, CHEAP, []), undefined);
});
