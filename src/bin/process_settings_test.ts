/** Tests of the validation of process settings. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkProcessSettings } from "./process_settings.ts";

function settingsOf(changes: Record<string, unknown> = {}): unknown {
  return {
    deployment: "kavango",
    vm: "khomas-a-1",
    place: "khomas-a",
    listen: { host: "127.0.0.1", httpPort: 0, peerPort: 0 },
    platform: {
      logUrl: "http://127.0.0.1:1",
      vmListUrl: "http://127.0.0.1:2",
      ratingUrl: "http://127.0.0.1:3",
      weightStoreUrl: "http://127.0.0.1:4",
    },
    log: {
      requestShards: 1,
      billShards: 1,
      appendBudgetPerSecond: 300,
      queueLimit: 1000,
      appendTimeoutMs: 2000,
      retentionMs: 3_600_000,
    },
    places: [{ place: "khomas-a", region: "khomas", delayMs: 0 }],
    access: {
      operatorToken: "",
      workspaceTokens: [],
      sessionTokenKey: "k".repeat(32),
      peerKey: "p".repeat(32),
    },
    limits: {
      bodyLimitBytes: 1_000_000,
      runningLimit: 64,
      queueLimit: 100,
      keptAnswerCount: 100,
      keptAnswerBytes: 1_000_000,
      outboxLimit: 100,
      firstByteTimeoutMs: 2000,
      betweenTokensTimeoutMs: 1000,
    },
    timing: {
      probePeriodMs: 1000,
      vmListPeriodMs: 1000,
      loadPeriodMs: 500,
      entriesMaxAgeMs: 5000,
      controllerPeriodMs: 1000,
    },
    ...changes,
  };
}

function faultsOf(json: unknown): readonly string[] {
  return checkProcessSettings(json, "entry.json").match(
    () => [],
    (error) => error.faults,
  );
}

test("complete settings are accepted", () => {
  assert.deepEqual(faultsOf(settingsOf()), []);
});

test("all faults are reported at once, each with its path", () => {
  const faults = faultsOf(settingsOf({ vm: "A B", colour: 1, places: [] }));
  assert.equal(faults.length, 3);
  assert.ok(faults.some((fault) => fault.startsWith("vm: ")));
  assert.ok(faults.some((fault) => fault.includes("colour")));
  assert.ok(faults.some((fault) => fault.startsWith("places: ")));
});

test("a fault does not contain the value of a key", () => {
  const access = {
    operatorToken: "",
    workspaceTokens: [],
    sessionTokenKey: "short-secret",
    peerKey: "p".repeat(32),
  };
  const faults = faultsOf(settingsOf({ access }));
  assert.equal(faults.length, 1);
  assert.ok(!faults.join().includes("short-secret"));
});

test("a place that is missing in the list of places is a fault", () => {
  const faults = faultsOf(settingsOf({ place: "oshana-a" }));
  assert.match(faults[0] ?? "", /^places: expected an entry for "oshana-a"/);
});
