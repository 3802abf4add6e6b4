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

interface Observation {
  readonly atMs: number;
  readonly signal: ServerSignal;
}

function statusAt(
  nowMs: number,
  events: readonly Observation[],
  drained: { places?: string[]; servers?: string[] } = {},
): ServerStatus {
  let state = NO_SIGNALS;
  for (const { atMs, signal } of events) {
    state = recordSignal(state, signal, atMs);
  }
  return serverStatus(state, {
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
const REPORTS_LEAVING: ServerSignal = { kind: "own_word", isLeaving: true };
const REPORTS_SERVING: ServerSignal = { kind: "own_word", isLeaving: false };
const UNANSWERED: ServerSignal = { kind: "probe", isAnswered: false };

test("each signal alone stops new work as soon as it is observed", () => {
  assert.equal(statusAt(0, []), "serving");
  assert.equal(statusAt(0, [{ atMs: 0, signal: LIST_LEAVING }]), "leaving");
  assert.equal(statusAt(0, [{ atMs: 0, signal: REPORTS_LEAVING }]), "leaving");
  assert.equal(statusAt(0, [], { places: ["khomas-a"] }), "drained");
  assert.equal(statusAt(0, [], { servers: ["engine-1"] }), "drained");
  const probes = [0, 1].map((atMs) => ({ atMs, signal: UNANSWERED }));
  assert.equal(statusAt(1, probes), "unreachable");
});

test("a lagging VM list never overrides the server's own report", () => {
  const events: Observation[] = [{ atMs: 0, signal: REPORTS_LEAVING }];
  for (let atMs = 0; atMs <= 300_000; atMs += 1000) {
    events.push({ atMs, signal: LIST_LIVE });
  }
  assert.equal(statusAt(300_000, events), "leaving");
});

test("a server that reports its return serves again after the hold", () => {
  const events: Observation[] = [
    { atMs: 0, signal: REPORTS_LEAVING },
    { atMs: 1000, signal: REPORTS_SERVING },
  ];
  assert.equal(statusAt(LEAVING_HOLD_MS - 1, events), "leaving");
  assert.equal(statusAt(LEAVING_HOLD_MS, events), "serving");
});

test("a flapping VM list gives no new work between two leaving signals", () => {
  const events: Observation[] = [];
  for (let atMs = 0; atMs < 60_000; atMs += 2000) {
    const isEven = (atMs / 2000) % 2 === 0;
    events.push({ atMs, signal: isEven ? LIST_LEAVING : LIST_LIVE });
    assert.equal(statusAt(atMs + 1999, events), "leaving");
  }
  assert.equal(statusAt(60_000 + LEAVING_HOLD_MS, events), "serving");
});

test("one answered probe makes an unreachable server serve again", () => {
  const events: Observation[] = [
    { atMs: 0, signal: UNANSWERED },
    { atMs: 1000, signal: UNANSWERED },
    { atMs: 2000, signal: { kind: "probe", isAnswered: true } },
  ];
  assert.equal(statusAt(2000, events), "serving");
});
