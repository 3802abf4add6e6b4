/** Tests of run summaries and their comparison. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  compareSummaries,
  parseRunSummary,
  type RunSummary,
} from "./run_summary.ts";

function summaryOf(fields: Partial<RunSummary> = {}): RunSummary {
  return {
    deployment: "kavango",
    faults: ["none"],
    policy: "default",
    seed: 1,
    seconds: 10,
    requests: 200,
    whole: 190,
    lost: 0,
    duplicated: 0,
    notRun: 10,
    mayHaveRun: 0,
    failed: 0,
    falseRefusals: 0,
    bills: 190,
    billMismatches: 0,
    costMicroEur: 4000,
    qualityMetShare: 1,
    badVersionAnswers: 0,
    violations: {},
    refusalReasons: { overloaded: 10 },
    latencyByClass: {},
    vms: [],
    ...fields,
  };
}

test("the last line of a run's output is parsed as its summary", () => {
  const summary = summaryOf();
  const parsed = parseRunSummary(`started\n${JSON.stringify(summary)}\n`);
  assert.deepEqual(parsed._unsafeUnwrap(), summary);
});

test("the error of an invalid summary contains the field", () => {
  const text = JSON.stringify({ ...summaryOf(), lost: -1 });
  assert.match(parseRunSummary(text)._unsafeUnwrapErr().message, /^lost: /);
  assert.equal(
    parseRunSummary("started")._unsafeUnwrapErr().name,
    "SummaryError",
  );
});

test("metrics of two summaries are compared with their change", () => {
  const second = summaryOf({
    whole: 171,
    refusalReasons: { backend_failed: 2 },
  });
  const metrics = compareSummaries(summaryOf(), second);
  const metricOf = (name: string): unknown =>
    metrics.find((metric) => metric.name === name);
  assert.deepEqual(metricOf("whole"), {
    name: "whole",
    first: "190",
    second: "171",
    changePercent: -10,
  });
  assert.deepEqual(metricOf("refusalReasons.overloaded"), {
    name: "refusalReasons.overloaded",
    first: "10",
    second: "-",
    changePercent: undefined,
  });
});
