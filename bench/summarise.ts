/** Turns the evidence and the processes' usage of a run into its summary. */
import { build, type Histogram } from "hdr-histogram-js";
import { REQUEST_CLASSES, type RequestClass } from "../src/model/mod.ts";
import { type RunSummary } from "../src/report/run_summary.ts";
import { LOW_QUALITY_MARK } from "../standin/mod.ts";
import { type Evidence, type Violation } from "../test/evidence.ts";
import { billsOf, checkInvariants } from "../test/invariants.ts";
import { type SentRequest } from "../test/load.ts";
import { type ScenarioResult } from "../test/scenario.ts";

const HIGHEST_MS = 3_600_000;

/** What a summary is made of besides the run itself. */
export interface SummaryOptions {
  readonly deployment: string;
  readonly faults: readonly string[];
  readonly policy: string;
  readonly seed: number;
  readonly seconds: number;
  readonly qualityOf: (version: string) => number;
  readonly vms: RunSummary["vms"];
}

/** Summarises one run. */
export function summarise(
  run: ScenarioResult,
  options: SummaryOptions,
): RunSummary {
  const { evidence, requests: asked } = run;
  const broken = checkInvariants(evidence);
  const bills = billsOf(evidence.appends);
  const { deployment, faults, policy, seed, seconds, vms } = options;
  let costMicroEur = 0;
  for (const bill of bills.values()) costMicroEur += bill.priceMicroEur;
  return {
    deployment,
    faults: [...faults],
    policy,
    seed,
    seconds,
    requests: asked.length,
    whole: countOf(asked, (one) => one.last.end === "whole"),
    lost: countOf(asked, (one) => one.last.end === "cut"),
    duplicated: violationCountOf(broken, "at_most_once"),
    notRun: countOf(asked, (one) => one.last.outcome === "not_run"),
    mayHaveRun: countOf(asked, (one) => one.last.outcome === "may_have_run"),
    failed: countOf(asked, (one) => one.last.outcome === "failed"),
    falseRefusals: violationCountOf(broken, "true_refusal"),
    bills: bills.size,
    billMismatches: violationCountOf(broken, "one_bill"),
    costMicroEur,
    qualityMetShare: qualityMetShare(asked, evidence, options.qualityOf),
    badVersionAnswers: countOf(
      asked,
      (one) =>
        one.last.end === "whole" && one.last.text.includes(LOW_QUALITY_MARK),
    ),
    violations: countBy(broken.map((one) => one.promise)),
    refusalReasons: countBy(
      asked.map((one) => one.last.reason).filter((reason) => reason !== ""),
    ),
    latencyByClass: latencyByClass(asked),
    vms,
  };
}

function qualityMetShare(
  asked: readonly SentRequest[],
  evidence: Evidence,
  qualityOf: (version: string) => number,
): number {
  const answers = asked.filter((one) =>
    one.request.kind === "model" && one.last.end === "whole"
  );
  const met = countOf(answers, (one) => {
    if (one.last.text.includes(LOW_QUALITY_MARK)) return false;
    const settings = evidence.tree.resolve(one.request.workspace).values;
    return qualityOf(one.last.version) >= settings.qualityTargetShare;
  });
  return answers.length === 0 ? 1 : met / answers.length;
}

function latencyByClass(
  asked: readonly SentRequest[],
): RunSummary["latencyByClass"] {
  const found: Record<string, RunSummary["latencyByClass"][string]> = {};
  for (const requestClass of REQUEST_CLASSES) {
    for (const kind of ["model", "service"] as const) {
      const own = asked.filter((one) =>
        one.request.requestClass === requestClass &&
        one.request.kind === kind &&
        one.last.end === "whole"
      );
      if (own.length > 0) found[labelOf(requestClass, kind)] = latencyOf(own);
    }
  }
  return found;
}

function labelOf(requestClass: RequestClass, kind: string): string {
  return kind === "model" ? requestClass : `${requestClass}-service`;
}

function latencyOf(
  asked: readonly SentRequest[],
): RunSummary["latencyByClass"][string] {
  const whole = newHistogram();
  const first = newHistogram();
  for (const { intendedMs, last } of asked) {
    whole.recordValue(Math.round(last.endedMs - intendedMs));
    if (last.firstTokenMs === undefined) continue;
    const firstMs = last.sentMs + last.firstTokenMs - intendedMs;
    first.recordValue(Math.round(firstMs));
  }
  return {
    count: asked.length,
    firstTokenP50Ms: first.getValueAtPercentile(50),
    firstTokenP95Ms: first.getValueAtPercentile(95),
    wholeP50Ms: whole.getValueAtPercentile(50),
    wholeP95Ms: whole.getValueAtPercentile(95),
    wholeP99Ms: whole.getValueAtPercentile(99),
  };
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: 3,
  });
}

function violationCountOf(
  broken: readonly Violation[],
  promise: string,
): number {
  return countOf(broken, (one) => one.promise === promise);
}

function countOf<Item>(
  items: readonly Item[],
  isCounted: (item: Item) => boolean,
): number {
  return items.filter(isCounted).length;
}

function countBy(names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}
