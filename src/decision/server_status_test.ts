/** Tests of whether a backend server receives new work. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  LEAVING_HOLD_MS,
  NO_SIGNALS,
  recordSignal,
  type ServerSignal,
  type ServerStatus,
  serverStatus,
} from "./server_status.ts";

interface Seen {
  readonly atMs: number;
  readonly sign: ServerSignal;
}

function statusAt(
  nowMs: number,
  seen: readonly Seen[],
  drained: { places?: string[]; servers?: string[] } = {},
): ServerStatus {
  let signs = NO_SIGNALS;
  for (const { atMs, sign } of seen) signs = recordSignal(signs, sign, atMs);
  return serverStatus(signs, {
    vm: "engine-1",
    place: "khomas-a",
    settings: {
      drainedPlaces: drained.places ?? [],
      drainedServers: drained.servers ?? [],
    },
    nowMs,
  });
}

const LIST_LIVE: ServerSignal = { kind: "list", status: "live" };
const LIST_LEAVING: ServerSignal = { kind: "list", status: "leaving" };
const SAYS_LEAVING: ServerSignal = { kind: "own_word", isLeaving: true };
const SAYS_SERVING: ServerSignal = { kind: "own_word", isLeaving: false };
const UNANSWERED: ServerSignal = { kind: "probe", isAnswered: false };

test("each sign alone stops new work at the moment it is seen", () => {
  assert.equal(statusAt(0, []), "serving");
  assert.equal(statusAt(0, [{ atMs: 0, sign: LIST_LEAVING }]), "leaving");
  assert.equal(statusAt(0, [{ atMs: 0, sign: SAYS_LEAVING }]), "leaving");
  assert.equal(statusAt(0, [], { places: ["khomas-a"] }), "drained");
  assert.equal(statusAt(0, [], { servers: ["engine-1"] }), "drained");
  const probes = [0, 1].map((atMs) => ({ atMs, sign: UNANSWERED }));
  assert.equal(statusAt(1, probes), "unreachable");
});

test("a list that lags by minutes never overrules the server's own word", () => {
  const seen: Seen[] = [{ atMs: 0, sign: SAYS_LEAVING }];
  for (let atMs = 0; atMs <= 300_000; atMs += 1000) {
    seen.push({ atMs, sign: LIST_LIVE });
  }
  assert.equal(statusAt(300_000, seen), "leaving");
});

test("a server that comes back and says so serves again after the hold", () => {
  const seen: Seen[] = [
    { atMs: 0, sign: SAYS_LEAVING },
    { atMs: 1000, sign: SAYS_SERVING },
  ];
  assert.equal(statusAt(LEAVING_HOLD_MS - 1, seen), "leaving");
  assert.equal(statusAt(LEAVING_HOLD_MS, seen), "serving");
});

test("a flapping list gives no new work between two signs of leaving", () => {
  const seen: Seen[] = [];
  for (let atMs = 0; atMs < 60_000; atMs += 2000) {
    const isEven = (atMs / 2000) % 2 === 0;
    seen.push({ atMs, sign: isEven ? LIST_LEAVING : LIST_LIVE });
    assert.equal(statusAt(atMs + 1999, seen), "leaving");
  }
  assert.equal(statusAt(60_000 + LEAVING_HOLD_MS, seen), "serving");
});

test("one answered probe makes an unreachable server serve again", () => {
  const seen: Seen[] = [
    { atMs: 0, sign: UNANSWERED },
    { atMs: 1000, sign: UNANSWERED },
    { atMs: 2000, sign: { kind: "probe", isAnswered: true } },
  ];
  assert.equal(statusAt(2000, seen), "serving");
});
