/**
 * Summary of one measured run, written as one JSON line, and the comparison of
 * two summaries.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

const countSchema = z.number().int().min(0);
const numberSchema = z.number();

const latencySchema = z.strictObject({
  count: countSchema,
  firstTokenP50Ms: numberSchema,
  firstTokenP95Ms: numberSchema,
  wholeP50Ms: numberSchema,
  wholeP95Ms: numberSchema,
  wholeP99Ms: numberSchema,
});

const vmUsageSchema = z.strictObject({
  vm: z.string(),
  entryCpuShare: numberSchema,
  controlCpuShare: numberSchema,
  controlBytesPerSecond: numberSchema,
  entryMemoryMb: numberSchema,
  controllerMemoryMb: numberSchema,
});

export const runSummarySchema = z.strictObject({
  deployment: z.string(),
  faults: z.array(z.string()),
  policy: z.string(),
  seed: z.number(),
  seconds: numberSchema,
  requests: countSchema,
  whole: countSchema,
  lost: countSchema,
  duplicated: countSchema,
  notRun: countSchema,
  mayHaveRun: countSchema,
  failed: countSchema,
  falseRefusals: countSchema,
  bills: countSchema,
  billMismatches: countSchema,
  costMicroEur: numberSchema,
  qualityMetShare: numberSchema,
  badVersionAnswers: countSchema,
  violations: z.record(z.string(), countSchema),
  refusalReasons: z.record(z.string(), countSchema),
  latencyByClass: z.record(z.string(), latencySchema),
  vms: z.array(vmUsageSchema),
});

/** The summary of one measured run. */
export type RunSummary = Readonly<z.infer<typeof runSummarySchema>>;

/** Text that is not a valid summary. */
export class SummaryError extends Error {
  override readonly name = "SummaryError";
}

/** Parses the last line of a text as a summary. */
export function parseRunSummary(
  text: string,
): Result<RunSummary, SummaryError> {
  const line = text.trimEnd().split("\n").at(-1) ?? "";
  try {
    const parsed = runSummarySchema.safeParse(JSON.parse(line));
    if (parsed.success) return ok(parsed.data);
    const issue = parsed.error.issues[0];
    const path = issue?.path.join(".") ?? "";
    return err(new SummaryError(`${path}: ${issue?.message ?? ""}`));
  } catch {
    return err(new SummaryError("the last line is not JSON"));
  }
}

/** A metric of two summaries, with values as text. */
export interface ComparedMetric {
  readonly name: string;
  readonly first: string;
  readonly second: string;
  /** `undefined` unless both are numbers and the first is not 0. */
  readonly changePercent: number | undefined;
}

/** Compares two summaries metric by metric. */
export function compareSummaries(
  first: RunSummary,
  second: RunSummary,
): ComparedMetric[] {
  const left = metricsOf(first);
  const right = metricsOf(second);
  const names = [...new Set([...left.keys(), ...right.keys()])];
  return names.map((name) => {
    const a = left.get(name);
    const b = right.get(name);
    const isComparable = typeof a === "number" && typeof b === "number" &&
      a !== 0;
    return {
      name,
      first: textOf(a),
      second: textOf(b),
      changePercent: isComparable ? 100 * (b - a) / a : undefined,
    };
  });
}

type MetricValue = string | number;

function metricsOf(summary: RunSummary): Map<string, MetricValue> {
  const metrics = new Map<string, MetricValue>();
  const { latencyByClass, vms, violations, refusalReasons, ...plain } = summary;
  for (const [name, value] of Object.entries(plain)) {
    const isScalar = typeof value === "number" || typeof value === "string";
    metrics.set(name, isScalar ? value : value.join(","));
  }
  const groups = { violations, refusalReasons, ...latencyByClass };
  for (const [group, values] of Object.entries(groups)) {
    for (const [name, value] of Object.entries(values)) {
      metrics.set(`${group}.${name}`, value);
    }
  }
  for (const name of VM_USAGE_METRICS) {
    const values = vms.map((vm) => vm[name]);
    metrics.set(`vms.${name}.max`, Math.max(0, ...values));
  }
  return metrics;
}

const VM_USAGE_METRICS = [
  "entryCpuShare",
  "controlCpuShare",
  "controlBytesPerSecond",
  "entryMemoryMb",
  "controllerMemoryMb",
] as const;

function textOf(value: MetricValue | undefined): string {
  if (value === undefined) return "-";
  if (typeof value === "string") return value;
  return Number.isInteger(value) ? String(value) : value.toFixed(3);
}
