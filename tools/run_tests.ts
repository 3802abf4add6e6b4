/**
 * Runs the `*_test.js` files of the build with Node's test runner: all of them,
 * or those whose path contains one of the arguments. A run whose only failures
 * are tests listed as `whole` in `KNOWN-RED.txt` passes and prints their names.
 */
import { spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";
import { readKnownRed } from "../test/known_red.ts";
import { failedTests, hasOnlyKnownFailures } from "./test_report.ts";
import { listFiles } from "./source_files.ts";

const PARALLEL_FILES = 4;
/** Timeout of a test file; only one that hangs reaches it. */
const FILE_TIMEOUT_MS = 300_000;

const words = process.argv.slice(2);
const files = listFiles("dist", "_test.js").filter((file) =>
  words.length === 0 || words.some((word) => file.includes(word))
);
if (files.length === 0) {
  console.error("no test file matches the arguments");
  process.exit(1);
}
const child = spawn(process.execPath, [
  "--enable-source-maps",
  "--test",
  `--test-concurrency=${PARALLEL_FILES}`,
  `--test-timeout=${FILE_TIMEOUT_MS}`,
  "--test-reporter=tap",
  ...files,
], { stdio: ["inherit", "pipe", "inherit"] });
const lines: string[] = [];
createInterface({ input: child.stdout }).on("line", (line) => {
  console.log(line);
  lines.push(line);
});
child.on("close", (code) => {
  const failed = failedTests(lines);
  const known = readKnownRed()
    .filter(({ promise }) => promise === "whole")
    .map((one) => one.test);
  const isTolerated = hasOnlyKnownFailures(failed, { known, exitCode: code });
  for (const name of failed) {
    console.log(`${known.includes(name) ? "known red" : "failed"}: ${name}`);
  }
  process.exit(isTolerated ? 0 : code ?? 1);
});
