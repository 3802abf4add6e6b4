/** Tests of registered servers: removal, expiry and out-of-date records. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  applyRoster,
  EMPTY_ROSTER,
  EXPIRY_GRACE_MS,
  type Roster,
  type RosterRecord,
} from "./backend_roster.ts";
import { serverOf } from "./manifest_fixture.ts";

function changed(
  roster: Roster,
  nowMs: number,
  ...records: RosterRecord[]
): Roster {
  return applyRoster(roster, { kind: "changed", records }, nowMs);
}

const server = serverOf("one");
const registered = changed(EMPTY_ROSTER, 0, { id: "one", server, offset: 5 });

test("an entry that disappears is removed at once", () => {
  const after = changed(registered, 10, {
    id: "one",
    server: undefined,
    offset: 6,
  });
  assert.equal(after.entries.size, 0);
});

test("a record older than the current one changes nothing", () => {
  const draining = serverOf("one", { status: "draining" });
  const after = changed(registered, 10, {
    id: "one",
    server: draining,
    offset: 4,
  });
  assert.equal(after.entries.get("one")?.server.status, "ready");
});

test("after an outage an expired entry stays for the grace period", () => {
  const returned = applyRoster(registered, { kind: "store_returned" }, 100);
  const expired = changed(returned, 150, {
    id: "one",
    server: undefined,
    offset: 6,
  });
  assert.equal(expired.entries.size, 1);
  const within = applyRoster(expired, { kind: "tick" }, 99 + EXPIRY_GRACE_MS);
  assert.equal(within.entries.size, 1);
  const after = applyRoster(expired, { kind: "tick" }, 100 + EXPIRY_GRACE_MS);
  assert.equal(after.entries.size, 0);
});

test("an entry renewed within the grace period stays", () => {
  const returned = applyRoster(registered, { kind: "store_returned" }, 100);
  const expired = changed(returned, 150, {
    id: "one",
    server: undefined,
    offset: 6,
  });
  const renewed = changed(expired, 200, { id: "one", server, offset: 7 });
  const after = applyRoster(renewed, { kind: "tick" }, 10_000);
  assert.equal(after.entries.size, 1);
});
