/**
 * Who takes the steps of a simulated roll-out: the product's sequential test,
 * or steps by time with one look at the means at the end of each step.
 */
import {
  meanOf,
  type RolloutInput,
  stepRecordOf,
  type VersionWatch,
} from "../../src/decision/mod.ts";
import { REQUEST_CLASSES, type VersionName } from "../../src/model/mod.ts";
import { type RecordOf } from "../../src/state/mod.ts";

/** Takes the steps of a roll-out. */
export interface RolloutPolicy {
  readonly name: string;
  readonly usesLocalStops: boolean;
  /** Called on the VM that took a rating. */
  readonly onRating: (
    watch: VersionWatch,
  ) => RecordOf<"rollout_step"> | undefined;
  /** Called on the controller after the VMs published. */
  readonly onPublish: (
    watch: VersionWatch,
    answerIndex: number,
  ) => RecordOf<"rollout_step"> | undefined;
}

/** The product's policy. */
export const SEQUENTIAL_POLICY: RolloutPolicy = {
  name: "sequential test",
  usesLocalStops: true,
  onRating: (watch) => {
    const move = watch.decisions[0];
    if (move?.verdict.kind !== "withdraw") return undefined;
    return stepRecordOf(move.verdict, move.input);
  },
  onPublish: (watch) => {
    const move = watch.decisions[0];
    return move && stepRecordOf(move.verdict, move.input);
  },
};

/** Steps of a fixed number of answers, each closed by a look at the means. */
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
  const endsAt = (stepIndex + 1) * options.stepAnswers;
  if (options.answerIndex < endsAt) return undefined;
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

function meanShareOf(input: RolloutInput, version: VersionName): number {
  let sum = 0;
  for (const requestClass of REQUEST_CLASSES) {
    sum += meanOf(input.quality.totalSumOf(version, requestClass));
  }
  return sum / REQUEST_CLASSES.length;
}
