/** Tests of what the log says of a request that is sent. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { routeOf, serverOf } from "../../decision/manifest_fixture.ts";
import { type LogFields, silentLogger } from "../../model/mod.ts";
import { testProtocol } from "../gateway_fixture.ts";
import { forwardContextOf } from "./forward_context_fixture.ts";
import { logChoice } from "./forward_log.ts";
import { chooseServer } from "../servers/server_choice.ts";

/** The fields of the line on a request that names a session. */
function sentFields(session: string): LogFields {
  const { context } = forwardContextOf([serverOf("a")], { nowMs: 0 });
  const caller = testProtocol.readRequest({
    method: "POST",
    target: "/one",
    rawHeaders: ["test-id", "r-1", "test-session", session],
  });
  assert.ok(typeof caller !== "string");
  const request = {
    caller,
    route: routeOf({}),
    service: "drafting",
    workspace: undefined,
    manifestVersion: 1,
    permittedRegions: undefined,
    callerRegion: undefined,
    body: Buffer.alloc(0),
    digest: "digest",
    receivedAtMs: 0,
  };
  const candidate = chooseServer(context, request, {
    acceptsVersion: () => true,
    triedIds: new Set(),
    model: undefined,
    isRetriable: false,
  });
  assert.ok(candidate !== undefined);
  const lines: LogFields[] = [];
  const info = (_: string, fields: LogFields = {}): void => {
    lines.push(fields);
  };
  logChoice({ ...context, logger: { ...silentLogger, info } }, request, {
    candidate,
    attemptCount: 1,
    attempts: [],
    versionReason: "session_kept",
    model: undefined,
    version: undefined,
    lastEvent: undefined,
  });
  return lines[0] ?? {};
}

// Guards against a change of a session's version that no log explains.
test("a request that is sent is logged with its session and why its version was allowed", () => {
  const [first, again, other] = ["s-1", "s-1", "s-2"].map(sentFields);
  assert.equal(first?.versionReason, "session_kept");
  assert.equal(typeof first?.session, "string");
  assert.equal(again?.session, first?.session);
  assert.notEqual(other?.session, first?.session);
});
