/**
 * Steps of a roll-out. At each step the version's ratings since the start of
 * the step are compared with those of its baseline. Evidence of a loss above
 * the plan's tolerance withdraws the version; evidence of a loss below it, with
 * enough ratings, advances the roll-out; otherwise the step holds. The plan's
 * bound on stopping a good version is split evenly among the steps and the time
 * after completion, which is monitored in the same way. Each record contains
 * the position of the preceding step, so if two controllers decide concurrently
 * only one record takes effect, and a restarted controller resumes from the
 * records.
 */
import {
  REQUEST_CLASSES,
  type RequestClass,
  type RolloutPlan,
  type Settings,
} from "../model/mod.ts";
import {
  type RecordOf,
  type RolloutProgress,
  START_POSITION,
} from "../state/mod.ts";
import {
  changeEvidence,
  type ChangeWatch,
  classSumsOf,
  comparisonsSince,
  countOf,
  stepSumsOf,
} from "./change_watch.ts";
import { overallNonInferiorityEvidence } from "./evidence.ts";
import { PRIOR_RATINGS, priorOf, type QualityTable } from "./quality.ts";
import { addSums, type RatingSum } from "./rating_sum.ts";

/** Bound on the probability that one step advances a bad version. */
export const FALSE_ADVANCE_SHARE = 0.05;

/** The next action of a roll-out. */
export type RolloutVerdict =
  | { readonly kind: "start" }
  | { readonly kind: "hold"; readonly reason: HoldReason }
  | { readonly kind: "advance"; readonly stepIndex: number }
  | { readonly kind: "complete" }
  | { readonly kind: "withdraw"; readonly reason: string }
  | { readonly kind: "ended" };

/** Reason why a step holds. */
export type HoldReason = "paused" | "few_ratings" | "undecided" | "completed";

/** Inputs of the decision on a roll-out's next action. */
export interface RolloutInput {
  readonly plan: RolloutPlan;
  readonly progress: RolloutProgress | undefined;
  /** Ratings monitored since the newest step; absent before the first. */
  readonly watch: ChangeWatch | undefined;
  readonly quality: QualityTable;
  /** Settings at the root of the settings tree. */
  readonly settings: Settings;
}

/** Decides the next action of a roll-out. */
export function decideRollout(input: RolloutInput): RolloutVerdict {
  const { plan, progress, watch } = input;
  if (progress === undefined || progress.step.version !== plan.version) {
    return plan.isPaused ? hold("paused") : { kind: "start" };
  }
  if (progress.step.verdict === "withdraw") return { kind: "ended" };
  if (watch !== undefined) {
    const evidence = changeEvidence(watch, {
      ...input,
      ...comparisonOf(input),
    });
    if (evidence >= 1 / stepErrorShareOf(plan)) {
      return { kind: "withdraw", reason: reasonOf(evidence, input) };
    }
  }
  if (progress.step.verdict === "complete") return hold("completed");
  if (plan.isPaused) return hold("paused");
  return decideAdvance(input, progress);
}

/** Bound on a false stop, for each step and for the time after completion. */
export function stepErrorShareOf(plan: RolloutPlan): number {
  return plan.falseStopShare / (plan.stepShares.length + 1);
}

/** Returns the record of a verdict; undefined if the step does not change. */
export function stepRecordOf(
  verdict: RolloutVerdict,
  input: RolloutInput,
): RecordOf<"rollout_step"> | undefined {
  if (verdict.kind === "hold" || verdict.kind === "ended") return undefined;
  const { plan, progress } = input;
  const after = progress?.position ?? START_POSITION;
  return {
    kind: "rollout_step",
    id: `rollout-${plan.name}-${after}-${verdict.kind}`,
    rollout: plan.name,
    version: plan.version,
    after,
    verdict: verdict.kind,
    stepIndex: stepIndexOf(verdict, progress),
    reason: verdict.kind === "withdraw" ? verdict.reason : "",
    ratings: REQUEST_CLASSES.map((requestClass) => ({
      requestClass,
      ...input.quality.totalSumOf(plan.version, requestClass),
    })),
  };
}

function decideAdvance(
  input: RolloutInput,
  progress: RolloutProgress,
): RolloutVerdict {
  const { plan, quality } = input;
  const now = classSumsOf(quality, plan.version);
  const start = stepSumsOf(progress);
  const { baselineOf } = comparisonOf(input);
  if (countOf(now) - countOf(start) < plan.minRatings) {
    return hold("few_ratings");
  }
  const comparisons = comparisonsSince(now, start, baselineOf);
  const evidence = overallNonInferiorityEvidence(
    comparisons,
    plan.toleratedLossShare,
  );
  if (evidence < 1 / FALSE_ADVANCE_SHARE) return hold("undecided");
  const stepIndex = progress.step.stepIndex + 1;
  if (stepIndex >= plan.stepShares.length) return { kind: "complete" };
  return { kind: "advance", stepIndex };
}

function comparisonOf(input: RolloutInput): {
  readonly version: RolloutPlan["version"];
  readonly toleratedLossShare: number;
  readonly baselineOf: (requestClass: RequestClass) => RatingSum;
} {
  const { plan, quality, settings } = input;
  const prior = priorOf(settings, plan.baseline);
  return {
    version: plan.version,
    toleratedLossShare: plan.toleratedLossShare,
    baselineOf: (requestClass) => {
      const rated = quality.decayedSumOf(plan.baseline, requestClass);
      return rated.count < PRIOR_RATINGS ? addSums(rated, prior) : rated;
    },
  };
}

function stepIndexOf(
  verdict: RolloutVerdict,
  progress: RolloutProgress | undefined,
): number {
  if (verdict.kind === "advance") return verdict.stepIndex;
  if (verdict.kind === "start") return 0;
  return progress?.step.stepIndex ?? 0;
}

function hold(reason: HoldReason): RolloutVerdict {
  return { kind: "hold", reason };
}

function reasonOf(evidence: number, input: RolloutInput): string {
  const { plan } = input;
  const lossPercent = plan.toleratedLossShare * 100;
  return `ratings show a loss above ${lossPercent.toFixed(1)} % against ` +
    `${plan.baseline} (evidence ${evidence.toExponential(1)})`;
}
