/** Words a fault found by a schema, with its path, the rule and what stood. */
import { type z } from "zod";

/** One line for one fault of a value that was parsed with `reportInput`. */
export function describeIssue(issue: z.core.$ZodIssue): string {
  const path = issue.path.join(".") || "(top)";
  if (issue.code === "unrecognized_keys") {
    return `${path}: unknown keys ${issue.keys.join(", ")}`;
  }
  return `${path}: ${issue.message}, found ${describeValue(issue.input)}`;
}

function describeValue(value: unknown): string {
  if (value === undefined) return "nothing";
  if (typeof value === "string") return `a text of ${value.length} characters`;
  if (typeof value === "number") return String(value);
  return Array.isArray(value) ? "a list" : typeof value;
}
