/** Tests of which failures a test run passes over. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { failedTests, isKnownFailure } from "./test_report.ts";

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
  assert.ok(!isKnownFailure(failed, ["a known one"]));
  assert.ok(isKnownFailure(failed, ["a known one", "another one"]));
  assert.ok(!isKnownFailure([], ["a known one"]));
});
