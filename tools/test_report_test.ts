/** Tests of the detection of failed and known failing tests. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { failedTests, hasOnlyKnownFailures } from "./test_report.ts";

const LINES = [
  "ok 1 - a sound test",
  "not ok 2 - a known one",
  "    not ok 3 - another one # duration 3",
];

test("only the names of failed tests are returned", () => {
  assert.deepEqual(failedTests(LINES), ["a known one", "another one"]);
});

test("a run with only known failures is recognized", () => {
  const failed = failedTests(LINES);
  const both = ["a known one", "another one"];
  const exitCode = 1;
  assert.ok(
    !hasOnlyKnownFailures(failed, { known: ["a known one"], exitCode }),
  );
  assert.ok(hasOnlyKnownFailures(failed, { known: both, exitCode }));
  assert.ok(!hasOnlyKnownFailures([], { known: ["a known one"], exitCode }));
  // A run that ended by a signal or with another code may be incomplete.
  assert.ok(!hasOnlyKnownFailures(failed, { known: both, exitCode: null }));
  assert.ok(!hasOnlyKnownFailures(failed, { known: both, exitCode: 7 }));
});
