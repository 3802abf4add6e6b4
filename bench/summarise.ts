/** Creates a run's summary from its evidence and the usage of its processes. */
import { build, type Histogram } from "hdr-histogram-js";
import { REQUEST_CLASSES, type RequestClass } from "../src/model/mod.ts";
import { type RunSummary } from "../src/report/run_summary.ts";
import { LOW_QUALITY_MARK } from "../standin/mod.ts";
import { type Evidence, type Violation } from "../test/evidence.ts";
import { billsOf, checkInvariants } from "../test/invariants.ts";
import { type SentRequest } from "../test/load.ts";
import { type ScenarioResult } from "../test/scenario.ts";

const MAX_LATENCY_MS = 3_600_000;

/** Options of the run and statistics that the evidence doesn't contain. */
export interface SummaryOptions {
  readonly deployment: string;
  readonly faults: readonly string[];
  readonly policy: string;
  readonly seed: number;
  readonly seconds: number;
  readonly qualityOf: (version: string) => number;
  readonly vms: RunSummary["vms"];
}

export function summarise(
  run: ScenarioResult,
  options: SummaryOptions,
): RunSummary {
  const { evidence, requests: requests } = run;
  const violations = checkInvariants(evidence);
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
    requests: requests.length,
    whole: countOf(requests, (request) => request.last.end === "whole"),
    lost: countOf(requests, (request) => request.last.end === "cut"),
    duplicated: violationCountOf(violations, "at_most_once"),
    notRun: countOf(requests, (request) => request.last.outcome === "not_run"),
    mayHaveRun: countOf(
      requests,
      (request) => request.last.outcome === "may_have_run",
    ),
    failed: countOf(requests, (request) => request.last.outcome === "failed"),
    falseRefusals: violationCountOf(violations, "true_refusal"),
    bills: bills.size,
    billMismatches: violationCountOf(violations, "one_bill"),
    costMicroEur,
    qualityMetShare: qualityMetShare(requests, evidence, options.qualityOf),
    badVersionAnswers: countOf(
      requests,
      (request) =>
        request.last.end === "whole" &&
        request.last.text.includes(LOW_QUALITY_MARK),
    ),
    violations: countBy(violations.map((violation) => violation.promise)),
    refusalReasons: countBy(
      requests.map((request) => request.last.reason).filter((reason) =>
        reason !== ""
      ),
    ),
    latencyByClass: latencyByClass(requests),
    vms,
  };
}

/**
 * Returns the share of complete model answers whose version meets the quality
 * target of the workspace; marked bad answers never do.
 */
function qualityMetShare(
  requests: readonly SentRequest[],
  evidence: Evidence,
  qualityOf: (version: string) => number,
): number {
  const answers = requests.filter((request) =>
    request.request.kind === "model" && request.last.end === "whole"
  );
  const met = countOf(answers, (request) => {
    if (request.last.text.includes(LOW_QUALITY_MARK)) return false;
    const settings = evidence.tree.resolve(request.request.workspace).values;
    return qualityOf(request.last.version) >= settings.qualityTargetShare;
  });
  return answers.length === 0 ? 1 : met / answers.length;
}

function latencyByClass(
  requests: readonly SentRequest[],
): RunSummary["latencyByClass"] {
  const latencies: Record<string, RunSummary["latencyByClass"][string]> = {};
  for (const requestClass of REQUEST_CLASSES) {
    for (const kind of ["model", "service"] as const) {
      const answers = requests.filter((request) =>
        request.request.requestClass === requestClass &&
        request.request.kind === kind &&
        request.last.end === "whole"
      );
      if (answers.length > 0) {
        latencies[labelOf(requestClass, kind)] = latencyOf(answers);
      }
    }
  }
  return latencies;
}

function labelOf(requestClass: RequestClass, kind: string): string {
  return kind === "model" ? requestClass : `${requestClass}-service`;
}

function latencyOf(
  answers: readonly SentRequest[],
): RunSummary["latencyByClass"][string] {
  const completion = newHistogram();
  const firstToken = newHistogram();
  for (const { intendedMs, last } of answers) {
    completion.recordValue(Math.round(last.endedMs - intendedMs));
    if (last.firstTokenMs === undefined) continue;
    const firstMs = last.sentMs + last.firstTokenMs - intendedMs;
    firstToken.recordValue(Math.round(firstMs));
  }
  return {
    count: answers.length,
    firstTokenP50Ms: firstToken.getValueAtPercentile(50),
    firstTokenP95Ms: firstToken.getValueAtPercentile(95),
    wholeP50Ms: completion.getValueAtPercentile(50),
    wholeP95Ms: completion.getValueAtPercentile(95),
    wholeP99Ms: completion.getValueAtPercentile(99),
  };
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: 3,
  });
}

function violationCountOf(
  violations: readonly Violation[],
  promise: string,
): number {
  return countOf(violations, (violation) => violation.promise === promise);
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
