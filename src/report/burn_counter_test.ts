/** Tests of one VM's counts: windows, limits and versions found bad. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok } from "neverthrow";
import { failed, mayHaveRun, notRun } from "../model/mod.ts";
import { BurnCounter } from "./burn_counter.ts";
import { outcomeOf } from "./burn_observer.ts";
import { type BurnObservation, MAX_SERIES } from "./burn_series.ts";
import { addCounts, NO_COUNTS, totalOf } from "./burn_window.ts";

const HOUR_MS = 3_600_000;
const START_MS = 500_000 * HOUR_MS + 600_000;

function counterAt(clock: { nowMs: number }): BurnCounter {
  let idCount = 0;
  return new BurnCounter({
    vm: "vm-a",
    wallClock: () => clock.nowMs,
    makeId: () => `id-${idCount++}`,
  });
}

function observed(fields: Partial<BurnObservation> = {}): BurnObservation {
  return {
    workspace: "/khomas/heritage",
    requestClass: "drafting",
    outcome: "good",
    version: "drafter@1",
    ...fields,
  };
}

test("a start, each full hour and a planned stop add a window", () => {
  const clock = { nowMs: START_MS };
  const counter = counterAt(clock);
  counter.countRequest(observed());
  clock.nowMs = START_MS + HOUR_MS;
  counter.countRequest(observed({ outcome: "late" }));
  clock.nowMs += 60_000;
  counter.close();
  const spans = counter.records(100).map((record) => ({
    startMs: record.windowStartMs,
    windowMs: record.windowMs,
    total: totalOf(record),
  })).filter(({ total }, index) => index === 0 || total > 0);
  assert.deepEqual(spans, [
    { startMs: START_MS, windowMs: 1, total: 0 },
    { startMs: START_MS, windowMs: HOUR_MS - 600_000, total: 1 },
    { startMs: 500_001 * HOUR_MS, windowMs: 660_000, total: 1 },
  ]);
});

test("a record is retained until the log confirms it", () => {
  const counter = counterAt({ nowMs: START_MS });
  const [record] = counter.records(1);
  assert.equal(counter.records(9).length, 1);
  counter.confirm(record?.id ?? "");
  assert.equal(counter.records(9).length, 0);
});

test("earlier and later answers of a version found bad count as bad", () => {
  const counter = counterAt({ nowMs: START_MS });
  counter.countRequest(observed());
  counter.countRequest(observed({ outcome: "late" }));
  counter.countRequest(observed({ version: "drafter@0" }));
  counter.markBad("drafter@1");
  counter.countRequest(observed());
  for (const windows of ["recent", "unrecorded"] as const) {
    const sum = counter.snapshot()[windows].reduce(addCounts, NO_COUNTS);
    assert.deepEqual(sum, { ...NO_COUNTS, good: 1, badVersion: 3 });
  }
});

test("short windows cover the last hour only", () => {
  const clock = { nowMs: START_MS };
  const counter = counterAt(clock);
  for (let minute = 0; minute < 300; minute++) {
    clock.nowMs += 60_000;
    counter.countRequest(observed());
  }
  const sum = counter.snapshot().recent.reduce(addCounts, NO_COUNTS);
  assert.ok(sum.good >= 60 && sum.good <= 65, String(sum.good));
});

test("the number of series is limited without losing requests", () => {
  const counter = counterAt({ nowMs: START_MS });
  const COUNT = MAX_SERIES + 500;
  for (let index = 0; index < COUNT; index++) {
    counter.countRequest(observed({ workspace: `/khomas/w-${index}` }));
  }
  const { recent } = counter.snapshot();
  assert.ok(recent.length <= MAX_SERIES + 2);
  assert.equal(recent.reduce(addCounts, NO_COUNTS).good, COUNT);
});

test("windows beyond the limit of unrecorded ones are dropped and counted", () => {
  const clock = { nowMs: START_MS };
  const counter = counterAt(clock);
  for (let hour = 0; hour < 20; hour++) {
    for (let index = 0; index < MAX_SERIES; index++) {
      counter.countRequest(observed({ workspace: `/khomas/w-${index}` }));
    }
    clock.nowMs += HOUR_MS;
  }
  const { unrecorded, droppedCount } = counter.snapshot();
  assert.ok(unrecorded.length < 10_000);
  assert.ok(droppedCount > 0);
});

test("refusals count by their outcome, except those caused by the caller", () => {
  const times = {
    objective: {
      requestClass: "lookup",
      firstTokenMs: 100,
      wholeAnswerMs: 1000,
      targetShare: 0.99,
    },
    firstTokenMs: 50,
    wholeAnswerMs: 500,
  } as const;
  const answer = ok(
    {
      kind: "model",
      version: "tagger@1",
      text: "",
      usage: { inputTokens: 1, outputTokens: 1 },
    } as const,
  );
  const detail = { detail: "" };
  assert.equal(outcomeOf(answer, times), "good");
  assert.equal(outcomeOf(answer, { ...times, firstTokenMs: 101 }), "late");
  assert.equal(outcomeOf(answer, { ...times, wholeAnswerMs: 1001 }), "late");
  assert.equal(outcomeOf(err(notRun("overloaded", detail)), times), "refused");
  assert.equal(outcomeOf(err(failed("backend_failed", detail)), times), "lost");
  assert.equal(
    outcomeOf(err(mayHaveRun("backend_silent", detail)), times),
    "lost",
  );
  const callerFault = err(notRun("bad_request", detail));
  assert.equal(outcomeOf(callerFault, times), undefined);
});
