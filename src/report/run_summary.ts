/**
 * The summary of one measured run, as one JSON line, and the comparison of two
 * summaries side by side.
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

/** Codec of a run's summary. */
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

/** Why a text is not a summary. */
export class SummaryError extends Error {
  override readonly name = "SummaryError";
}

/** Reads the last JSON line of a text as a summary. */
export function parseRunSummary(
  text: string,
): Result<RunSummary, SummaryError> {
  const line = text.trimEnd().split("\n").at(-1) ?? "";
  try {
    const parsed = runSummarySchema.safeParse(JSON.parse(line));
    if (parsed.success) return ok(parsed.data);
    const issue = parsed.error.issues[0];
    const where = issue?.path.join(".") ?? "";
    return err(new SummaryError(`${where}: ${issue?.message ?? ""}`));
  } catch {
    return err(new SummaryError("the last line is not JSON"));
  }
}

/** One figure of two summaries. */
export interface ComparedMetric {
  readonly name: string;
  readonly first: string;
  readonly second: string;
  /** Change in percent, where both are numbers and the first is not 0. */
  readonly changePercent: number | undefined;
}

/** Sets the figures of two summaries side by side. */
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
    const isChange = typeof a === "number" && typeof b === "number" && a !== 0;
    return {
      name,
      first: textOf(a),
      second: textOf(b),
      changePercent: isChange ? 100 * (b - a) / a : undefined,
    };
  });
}

type MetricValue = string | number;

function metricsOf(summary: RunSummary): Map<string, MetricValue> {
  const figures = new Map<string, MetricValue>();
  const { latencyByClass, vms, violations, refusalReasons, ...plain } = summary;
  for (const [name, value] of Object.entries(plain)) {
    const isFigure = typeof value === "number" || typeof value === "string";
    figures.set(name, isFigure ? value : value.join(","));
  }
  const groups = { violations, refusalReasons, ...latencyByClass };
  for (const [group, values] of Object.entries(groups)) {
    for (const [name, value] of Object.entries(values)) {
      figures.set(`${group}.${name}`, value);
    }
  }
  for (const name of USAGE_NAMES) {
    const values = vms.map((vm) => vm[name]);
    figures.set(`vms.${name}.max`, Math.max(0, ...values));
  }
  return figures;
}

const USAGE_NAMES = [
  "entryCpuShare",
  "controlCpuShare",
  "controlBytesPerSecond",
  "entryMemoryMb",
  "controllerMemoryMb",
] as const;

function textOf(figure: MetricValue | undefined): string {
  if (figure === undefined) return "-";
  if (typeof figure === "string") return figure;
  return Number.isInteger(figure) ? String(figure) : figure.toFixed(3);
}
