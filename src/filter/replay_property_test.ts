/**
 * Properties of claims, bills and pins under replay: for every order of appends
 * by the VMs, with duplicate appends and repeated reads of log entries, there
 * is at most one run, one bill and one pin.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type VersionName } from "../model/mod.ts";
import { LedgerState, type LogRecord, RequestState } from "../state/mod.ts";
import {
  Fixture,
  modelRequest,
  send,
  serviceRequest,
  WORKSPACE,
} from "./fixture_test.ts";

const SEED = 20261203;
const RUNS = 300;
const SESSION = "/khomas/heritage/s-1" as const;
const VMS = ["vm-1", "vm-2", "vm-3"] as const;
const VERSIONS: readonly VersionName[] = ["a@1", "b@1", "c@1"];

function claim(vm: string, attempt: number): LogRecord {
  return {
    id: `claim-${vm}-${attempt}`,
    kind: "claim",
    workspace: WORKSPACE,
    key: "k",
    requestId: "r",
    bodyHash: "h",
    vm,
  };
}

function outcome(
  claimId: string,
  result: "done" | "not_run" | "unknown",
): LogRecord {
  return {
    id: `outcome-${claimId}-${result}`,
    kind: "outcome",
    workspace: WORKSPACE,
    key: "k",
    claimId,
    result,
    status: result === "done" ? 200 : 0,
    contentType: "",
    bodyBase64: "",
  };
}

function bill(vm: string, priceMicroEur: number): LogRecord {
  return {
    id: "bill-r",
    kind: "bill",
    isWhole: true,
    requestId: "r",
    workspace: WORKSPACE,
    requestClass: "lookup",
    lines: [],
    priceMicroEur,
    vm,
  };
}

function pin(version: VersionName): LogRecord {
  return { id: `pin-${version}`, kind: "pin", session: SESSION, version };
}

interface Step {
  readonly vm: (typeof VMS)[number];
  readonly appendCount: number;
  readonly ending: "done" | "not_run" | "unknown" | "killed";
  readonly isOutcomeLate: boolean;
}

const step: fc.Arbitrary<Step> = fc.record({
  vm: fc.constantFrom(...VMS),
  appendCount: fc.integer({ min: 1, max: 3 }),
  ending: fc.constantFrom("done", "not_run", "unknown", "killed"),
  isOutcomeLate: fc.boolean(),
});

/**
 * Builds the log of the steps: each VM appends a claim, runs if its claim holds
 * the key, and appends its outcome, possibly late. Asserts at most one run.
 */
function appendSteps(steps: readonly Step[]): LogRecord[] {
  const log: LogRecord[] = [];
  const runs: string[] = [];
  const late: LogRecord[] = [];
  for (
    const [attempt, { vm, appendCount, ending, isOutcomeLate }] of steps
      .entries()
  ) {
    const record = claim(vm, attempt);
    for (let count = 0; count < appendCount; count += 1) log.push(record);
    const state = replay(log);
    if (state.claimOf(WORKSPACE, "k")?.claim.id !== record.id) continue;
    if (ending !== "not_run") runs.push(record.id);
    if (ending === "killed") continue;
    (isOutcomeLate ? late : log).push(outcome(record.id, ending));
  }
  assert.ok(runs.length <= 1, `ran ${runs.length} times`);
  return [...log, ...late];
}

function replay(records: readonly LogRecord[]): RequestState {
  let state = RequestState.empty;
  for (const [offset, record] of records.entries()) {
    state = state.apply({ offset, records: [record] });
  }
  return state;
}

test("a key runs at most once for any number and order of claims", () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      const log = appendSteps(steps);
      const claimed = replay(log).claimOf(WORKSPACE, "k");
      assert.ok(log.length === 0 || claimed !== undefined);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("reading log entries again, from any offset, changes nothing", () => {
  const arbitrary = fc.tuple(
    fc.array(step, { minLength: 1, maxLength: 8 }),
    fc.array(fc.nat({ max: 30 }), { maxLength: 20 }),
  );
  fc.assert(
    fc.property(arbitrary, ([steps, rereadOffsets]) => {
      const log = appendSteps(steps);
      let state = replay(log);
      const expected = state.claimOf(WORKSPACE, "k");
      for (const offset of rereadOffsets) {
        const record = log[offset % log.length];
        if (record === undefined) continue;
        state = state.apply({ offset: offset % log.length, records: [record] });
      }
      assert.deepEqual(state.claimOf(WORKSPACE, "k"), expected);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("the first of several bills counts", () => {
  const arbitrary = fc.array(
    fc.record({ vm: fc.constantFrom(...VMS), price: fc.nat({ max: 100 }) }),
    { minLength: 1, maxLength: 10 },
  );
  fc.assert(
    fc.property(arbitrary, (bills) => {
      let state = LedgerState.empty;
      for (const [offset, { vm, price }] of bills.entries()) {
        state = state.apply({ offset, records: [bill(vm, price)] });
        state = state.apply({ offset, records: [bill(vm, price)] });
      }
      assert.equal(state.billCount, 1);
      assert.equal(state.totalOf(WORKSPACE).priceMicroEur, bills[0]?.price);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("the first of several pins counts", () => {
  const arbitrary = fc.array(fc.constantFrom(...VERSIONS), { minLength: 1 });
  fc.assert(
    fc.property(arbitrary, (versions) => {
      const state = replay(versions.map(pin));
      assert.equal(state.pinOf(SESSION), versions[0]);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

type Mode = Fixture["log"]["mode"];

// Sends retries of one key and request id to several VMs, with log faults.
test("entries over a faulty log run once, bill once and pin once", async () => {
  const modes: Mode[] = ["up", "down", "lost", "reply_lost"];
  const arbitrary = fc.array(
    fc.record({ vm: fc.nat({ max: 2 }), mode: fc.constantFrom(...modes) }),
    { minLength: 1, maxLength: 8 },
  );
  await fc.assert(
    fc.asyncProperty(arbitrary, async (attempts) => {
      const fixture = new Fixture();
      const entries = VMS.map((vm) => fixture.entry(vm));
      const versions = new Set<string | undefined>();
      for (const { vm, mode } of attempts) {
        const entry = entries[vm];
        if (entry === undefined) continue;
        fixture.log.mode = mode;
        await send(entry, serviceRequest({ requestId: "r-key" })).result;
        const sent = send(entry, modelRequest({ session: "s-1" }));
        await sent.result;
        versions.add(sent.received.version);
      }
      fixture.log.mode = "up";
      for (const entry of entries) await entry.handler.flush();
      for (const entry of entries) await entry.handler.flush();
      assert.ok(fixture.services.calls.length <= 1);
      assert.equal(versions.size, 1);
      const bills = fixture.log.records.filter((record) =>
        record.kind === "bill"
      );
      const billed = new Set(bills.map((record) => record.requestId));
      const modelCount = fixture.engines.calls.length;
      const expected = modelCount + fixture.services.calls.length;
      assert.equal(billed.size, expected);
      for (const entry of entries) {
        assert.equal(entry.handler.status().heldBillCount, 0);
      }
    }),
    { seed: SEED, numRuns: 60 },
  );
});
