/**
 * The cases of `KNOWN-RED.txt`: faults that are known and not yet mended. Such a
 * case still runs; only the promise that it names may be broken, and what was
 * seen is printed.
 */
import { readFileSync } from "node:fs";
import { type PromiseName, type Violation } from "./evidence.ts";

const FILE = "KNOWN-RED.txt";

/** One known case. */
export interface KnownRed {
  readonly test: string;
  /** The promise that may be broken; `whole` where the test may fail as such. */
  readonly promise: PromiseName | "whole";
}

/** Reads the known cases. */
export function readKnownRed(): KnownRed[] {
  return readFileSync(FILE, "utf8").split("\n")
    .filter((line) => line !== "" && !line.startsWith("#"))
    .map((line) => {
      const [test = "", promise = ""] = line.split(" | ");
      return { test, promise: promise as KnownRed["promise"] };
    });
}

/** The violations of a test that are not known. */
export function unexpectedViolations(
  test: string,
  violations: readonly Violation[],
): Violation[] {
  const known = readKnownRed().filter((one) => one.test === test);
  return violations.filter((violation) =>
    !known.some((one) => one.promise === violation.promise)
  );
}
