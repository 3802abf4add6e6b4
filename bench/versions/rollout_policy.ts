/**
 * Policies that decide the steps of a simulated roll-out: the actual sequential
 * test, or steps of a fixed length with one comparison of means at their end.
 */
import {
  meanOf,
  type RolloutInput,
  stepRecordOf,
  type VersionWatch,
} from "../../src/decision/mod.ts";
import { REQUEST_CLASSES, type VersionName } from "../../src/model/mod.ts";
import { type RecordOf } from "../../src/state/mod.ts";

/** Decides the steps of a roll-out and returns their records. */
export interface RolloutPolicy {
  readonly name: string;
  readonly usesLocalStops: boolean;
  /** Called on the VM that added a rating. */
  readonly onRating: (
    watch: VersionWatch,
  ) => RecordOf<"rollout_step"> | undefined;
  /** Called on the controller after the VMs published their totals. */
  readonly onPublish: (
    watch: VersionWatch,
    answerIndex: number,
  ) => RecordOf<"rollout_step"> | undefined;
}

/** The policy of the programs. */
export const SEQUENTIAL_POLICY: RolloutPolicy = {
  name: "sequential test",
  usesLocalStops: true,
  onRating: (watch) => {
    const decision = watch.decisions[0];
    if (decision?.verdict.kind !== "withdraw") return undefined;
    return stepRecordOf(decision.verdict, decision.input);
  },
  onPublish: (watch) => {
    const decision = watch.decisions[0];
    return decision && stepRecordOf(decision.verdict, decision.input);
  },
};

/**
 * Creates a policy with steps of a fixed number of answers. Each ends with a
 * comparison of the mean scores of the version and its baseline.
 */
export function createTimedPolicy(stepAnswers: number): RolloutPolicy {
  return {
    name: `steps of ${stepAnswers} answers`,
    usesLocalStops: false,
    onRating: () => undefined,
    onPublish: (watch, answerIndex) => {
      const input = watch.decisions[0]?.input;
      return input && timedStep(input, { answerIndex, stepAnswers });
    },
  };
}

function timedStep(
  input: RolloutInput,
  options: { readonly answerIndex: number; readonly stepAnswers: number },
): RecordOf<"rollout_step"> | undefined {
  const { plan, progress } = input;
  if (progress === undefined) return stepRecordOf({ kind: "start" }, input);
  const { verdict, stepIndex } = progress.step;
  if (verdict === "withdraw" || verdict === "complete") return undefined;
  const endIndex = (stepIndex + 1) * options.stepAnswers;
  if (options.answerIndex < endIndex) return undefined;
  const meanLoss = meanShareOf(input, plan.baseline) -
    meanShareOf(input, plan.version);
  if (meanLoss > plan.toleratedLossShare) {
    return stepRecordOf({ kind: "withdraw", reason: "mean" }, input);
  }
  if (stepIndex + 1 === plan.stepShares.length) {
    return stepRecordOf({ kind: "complete" }, input);
  }
  return stepRecordOf({ kind: "advance", stepIndex: stepIndex + 1 }, input);
}

/** Returns the mean score of a version, with equal weight per request class. */
function meanShareOf(input: RolloutInput, version: VersionName): number {
  let sum = 0;
  for (const requestClass of REQUEST_CLASSES) {
    sum += meanOf(input.quality.totalSumOf(version, requestClass));
  }
  return sum / REQUEST_CLASSES.length;
}
