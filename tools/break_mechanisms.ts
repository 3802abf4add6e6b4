/**
 * Takes the gateway's mechanisms out one by one, on a scratch copy, and runs
 * their tests: each must fail. Prints a table of mechanism and failing test.
 *
 * Usage: node dist/tools/break_mechanisms.js [WORD...]
 */
import { spawnSync } from "node:child_process";
import {
  cpSync,
  existsSync,
  mkdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { basename, join, resolve } from "node:path";
import process from "node:process";
import { type Mechanism } from "./mechanism.ts";
import { MECHANISMS } from "./mechanisms.ts";
import { failedTests } from "./test_report.ts";

const SCRATCH = ".scratch/mechanisms";
const FOLDERS = ["src", "platform", "standin", "test", "tools"];
/** A mechanism without which a test hangs counts as noticed, by no name. */
const TEST_TIMEOUT_MS = 60_000;

const words = process.argv.slice(2);
const chosen = MECHANISMS.filter(({ name }) =>
  words.length === 0 || words.some((word) => name.includes(word))
);
copySources();
let unnoticedCount = 0;
console.log("| mechanism | module | test that fails without it |");
console.log("| --- | --- | --- |");
for (const mechanism of chosen) {
  const failed = testsWithout(mechanism);
  if (failed.length === 0) unnoticedCount += 1;
  const shown = failed[0] ?? "NONE";
  console.log(`| ${mechanism.name} | \`${mechanism.file}\` | ${shown} |`);
}
process.exit(unnoticedCount === 0 ? 0 : 1);

function copySources(): void {
  rmSync(SCRATCH, { recursive: true, force: true });
  mkdirSync(SCRATCH, { recursive: true });
  for (const folder of FOLDERS) {
    cpSync(folder, join(SCRATCH, folder), { recursive: true });
  }
  for (const file of ["package.json", "tsconfig.json"]) {
    cpSync(file, join(SCRATCH, file));
  }
  symlinkSync(resolve("node_modules"), join(SCRATCH, "node_modules"));
}

/** Returns the names of the tests that fail without a mechanism. */
function testsWithout(mechanism: Mechanism): string[] {
  const path = join(SCRATCH, mechanism.file);
  const text = readFileSync(path, "utf8");
  const occurrences = text.split(mechanism.source).length - 1;
  if (occurrences !== 1) {
    throw new Error(
      `${mechanism.name}: its source occurs ${occurrences} times`,
    );
  }
  const tests = mechanism.tests.filter((test) =>
    existsSync(join(SCRATCH, test))
  );
  if (tests.length === 0) return [];
  const { source, replacement } = mechanism;
  writeFileSync(path, text.split(source).join(replacement));
  const run = spawnSync(process.execPath, [
    "--import",
    "tsx",
    "--test",
    `--test-timeout=${TEST_TIMEOUT_MS}`,
    "--test-reporter=tap",
    ...tests,
  ], { cwd: SCRATCH, encoding: "utf8" });
  writeFileSync(path, text);
  const failed = failedTests(run.stdout.split("\n"))
    .map((name) => name.endsWith(".ts") ? basename(name) : name);
  if (failed.length > 0) return failed;
  return run.status === 0 ? [] : ["(the run ends)"];
}
