/** Tests of which failures a test run passes over. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { failedTests, hasOnlyKnownFailures } from "./test_report.ts";

const LINES = [
  "ok 1 - a sound test",
  "not ok 2 - a known one",
  "    not ok 3 - another one # duration 3",
];

test("failed tests are named, sound ones are not", () => {
  assert.deepEqual(failedTests(LINES), ["a known one", "another one"]);
});

test("only failures that are all known are passed over", () => {
  const failed = failedTests(LINES);
  const both = ["a known one", "another one"];
  const exitCode = 1;
  assert.ok(
    !hasOnlyKnownFailures(failed, { known: ["a known one"], exitCode }),
  );
  assert.ok(hasOnlyKnownFailures(failed, { known: both, exitCode }));
  assert.ok(!hasOnlyKnownFailures([], { known: ["a known one"], exitCode }));
  // A run that was ended by a signal or broke down has not run every test.
  assert.ok(!hasOnlyKnownFailures(failed, { known: both, exitCode: null }));
  assert.ok(!hasOnlyKnownFailures(failed, { known: both, exitCode: 7 }));
});
