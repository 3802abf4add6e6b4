/**
 * Runs the `*_test.js` files of the build with Node's test runner: all of them,
 * or those whose path contains one of the arguments. Files named
 * `*_alone_test.js` watch a process and run after the others, one at a time. A
 * run whose only failures are tests listed as `whole` in `KNOWN-RED.txt` passes
 * and prints their names.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
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
const lines: string[] = [];
const isAlone = (file: string): boolean => file.endsWith("_alone_test.js");
const exitCodes = [
  await runFiles(files.filter((file) => !isAlone(file)), PARALLEL_FILES),
  await runFiles(files.filter(isAlone), 1),
];
const code = exitCodes.find((exitCode) => exitCode !== 0) ?? 0;
const failed = failedTests(lines);
const known = readKnownRed()
  .filter(({ promise }) => promise === "whole")
  .map((one) => one.test);
const isTolerated = exitCodes.every((exitCode) =>
  exitCode === 0 || hasOnlyKnownFailures(failed, { known, exitCode })
);
for (const name of failed) {
  console.log(`${known.includes(name) ? "known red" : "failed"}: ${name}`);
}
process.exit(isTolerated ? 0 : code ?? 1);

/** Runs test files and keeps their output; resolves with the exit code. */
async function runFiles(
  testFiles: readonly string[],
  concurrency: number,
): Promise<number | null> {
  if (testFiles.length === 0) return 0;
  const child = spawn(process.execPath, [
    "--enable-source-maps",
    "--test",
    `--test-concurrency=${concurrency}`,
    `--test-timeout=${FILE_TIMEOUT_MS}`,
    "--test-reporter=tap",
    ...testFiles,
  ], { stdio: ["inherit", "pipe", "inherit"] });
  createInterface({ input: child.stdout }).on("line", (line) => {
    console.log(line);
    lines.push(line);
  });
  const [exitCode] = await once(child, "close");
  return exitCode;
}
