/** Tests of registered servers: leaving, lapsing and late records. */
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
const known = changed(EMPTY_ROSTER, 0, { id: "one", server, offset: 5 });

test("an entry that vanishes is gone at once", () => {
  const after = changed(known, 10, { id: "one", server: undefined, offset: 6 });
  assert.equal(after.entries.size, 0);
});

test("a record older than the one known changes nothing", () => {
  const draining = serverOf("one", { status: "draining" });
  const after = changed(known, 10, { id: "one", server: draining, offset: 4 });
  assert.equal(after.entries.get("one")?.server.status, "ready");
});

test("after an outage a lapsed entry stays until the grace is over", () => {
  const returned = applyRoster(known, { kind: "store_returned" }, 100);
  const lapsed = changed(returned, 150, {
    id: "one",
    server: undefined,
    offset: 6,
  });
  assert.equal(lapsed.entries.size, 1);
  const within = applyRoster(lapsed, { kind: "tick" }, 99 + EXPIRY_GRACE_MS);
  assert.equal(within.entries.size, 1);
  const after = applyRoster(lapsed, { kind: "tick" }, 100 + EXPIRY_GRACE_MS);
  assert.equal(after.entries.size, 0);
});

test("an entry that comes back in the grace stays", () => {
  const returned = applyRoster(known, { kind: "store_returned" }, 100);
  const lapsed = changed(returned, 150, {
    id: "one",
    server: undefined,
    offset: 6,
  });
  const back = changed(lapsed, 200, { id: "one", server, offset: 7 });
  const after = applyRoster(back, { kind: "tick" }, 10_000);
  assert.equal(after.entries.size, 1);
});
