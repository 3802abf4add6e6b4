/**
 * Reads `KNOWN-RED.txt`, the list of tests that show an open fault. A listed
 * test still runs: only the promise named in its entry may be broken, and each
 * such violation is printed.
 */
import { readFileSync } from "node:fs";
import { type PromiseName, type Violation } from "./evidence.ts";

const FILE = "KNOWN-RED.txt";

/** One entry of the list. */
export interface KnownRed {
  readonly test: string;
  /** The promise that may be broken; `whole` if the test itself may fail. */
  readonly promise: PromiseName | "whole";
}

/** Reads the entries of the list. */
export function readKnownRed(): KnownRed[] {
  return readFileSync(FILE, "utf8").split("\n")
    .filter((line) => line !== "" && !line.startsWith("#"))
    .map((line) => {
      const [test = "", promise = ""] = line.split(" | ");
      return { test, promise: promise as KnownRed["promise"] };
    });
}

/** Returns the violations of a test that its entries do not allow. */
export function unexpectedViolations(
  test: string,
  violations: readonly Violation[],
): Violation[] {
  const known = readKnownRed().filter((one) => one.test === test);
  return violations.filter((violation) =>
    !known.some((one) => one.promise === violation.promise)
  );
}
