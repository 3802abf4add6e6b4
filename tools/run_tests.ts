/**
 * Runs every `*_test.js` of the build on Node's own runner, or those whose path
 * contains one of the words given as arguments.
 */
import { spawn } from "node:child_process";
import process from "node:process";
import { listFiles } from "./source_files.ts";

const PARALLEL_FILES = 4;
/** Ends a file that hangs; no test comes near it. */
const FILE_TIMEOUT_MS = 300_000;

const words = process.argv.slice(2);
const files = listFiles("dist", "_test.js").filter((file) =>
  words.length === 0 || words.some((word) => file.includes(word))
);
if (files.length === 0) {
  console.error("no test file matches");
  process.exit(1);
}
const child = spawn(process.execPath, [
  "--enable-source-maps",
  "--test",
  `--test-concurrency=${PARALLEL_FILES}`,
  `--test-timeout=${FILE_TIMEOUT_MS}`,
  ...files,
], { stdio: "inherit" });
child.on("exit", (code) => process.exit(code ?? 1));
