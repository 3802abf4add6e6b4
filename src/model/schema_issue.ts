/** Readable messages for values that a schema rejected. */
import { type z } from "zod";

/**
 * Describes a schema issue in one line: path, violated rule and found value.
 * The value must have been parsed with zod's `reportInput`.
 */
export function describeIssue(issue: z.core.$ZodIssue): string {
  const path = issue.path.join(".") || "(top)";
  if (issue.code === "unrecognized_keys") {
    return `${path}: unknown keys ${issue.keys.join(", ")}`;
  }
  return `${path}: ${issue.message}, found ${describeValue(issue.input)}`;
}

function describeValue(value: unknown): string {
  if (value === undefined) return "no value";
  if (typeof value === "string") return `a string of ${value.length} chars`;
  if (typeof value === "number") return String(value);
  return Array.isArray(value) ? "an array" : typeof value;
}
