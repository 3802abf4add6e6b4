/**
 * Measures simulated roll-outs: the number of bad answers from a bad version
 * before it is withdrawn, and how often a good version is withdrawn.
 *
 * Usage: node dist/bench/versions/exposure.js [--runs N] [--seed S]
 *   [--scores beta|all_or_nothing] [--only WORDS] [--policy WORDS]
 */
import process from "node:process";
import { parseArgs } from "node:util";
import {
  DEFAULT_SETTINGS,
  type RolloutPlan,
  type Settings,
} from "../../src/model/mod.ts";
import {
  createTimedPolicy,
  type RolloutPolicy,
  SEQUENTIAL_POLICY,
} from "./rollout_policy.ts";
import {
  type NewVersionAnswer,
  runRollout,
  type SimulationOptions,
  type SimulationOutcome,
} from "./simulated_rollout.ts";
import {
  createRandom,
  quantileOf,
  sampleAllOrNothing,
  sampleBeta,
} from "./random_samples.ts";

interface Scenario {
  readonly name: string;
  readonly isBad: boolean;
  readonly lossOf: (answer: NewVersionAnswer) => number;
  readonly changes?: Partial<SimulationOptions>;
}

const STEP_ANSWERS = 8000;
const DEGRADES_AT_ANSWER = 1000;
const GRADUAL_LOSS_ANSWERS = 4000;

const PLAN: RolloutPlan = {
  name: "middle-2",
  version: "middle@2",
  baseline: "middle@1",
  stepShares: [0.01, 0.05, 0.25, 1],
  minRatings: 30,
  toleratedLossShare: 0.05,
  falseStopShare: 0.01,
  isPaused: false,
};

const SCENARIOS: readonly Scenario[] = [
  { name: "as good as its baseline", isBad: false, lossOf: () => 0 },
  { name: "loses 0.025, tolerated", isBad: false, lossOf: () => 0.025 },
  { name: "loses 0.05, the bound itself", isBad: false, lossOf: () => 0.05 },
  { name: "loses 0.08 from the start", isBad: true, lossOf: () => 0.08 },
  { name: "loses 0.15 from the start", isBad: true, lossOf: () => 0.15 },
  { name: "loses 0.40 from the start", isBad: true, lossOf: () => 0.4 },
  {
    name: "loses 0.40 in reviews only",
    isBad: true,
    lossOf: ({ requestClass }) => requestClass === "review" ? 0.4 : 0,
  },
  {
    name: "turns at once to 0.40 in mid-roll-out",
    isBad: true,
    lossOf: ({ answerIndex }) => answerIndex < DEGRADES_AT_ANSWER ? 0 : 0.4,
  },
  {
    name: "turns slowly to 0.40 in mid-roll-out",
    isBad: true,
    lossOf: ({ answerIndex }) =>
      0.4 * Math.min(1, answerIndex / GRADUAL_LOSS_ANSWERS),
  },
  {
    name: "turns to 0.40 after completion",
    isBad: true,
    lossOf: ({ isComplete }) => isComplete ? 0.4 : 0,
  },
];

function settingsOf(plan: RolloutPlan): Settings {
  return {
    ...DEFAULT_SETTINGS,
    allowed: [plan.baseline, plan.version],
    qualityTargetShare: 0.7,
    catalogue: [plan.baseline, plan.version].map((version) => ({
      version,
      inputPriceMicroEurPerMTok: 1000,
      outputPriceMicroEurPerMTok: 4000,
      memoryMb: 1000,
      priorQualityShare: 0.82,
    })),
    rollouts: [plan],
  };
}

function runScenario(
  scenario: Scenario,
  options: {
    readonly policy: RolloutPolicy;
    readonly runs: number;
    readonly seed: number;
    readonly sampleScore: SimulationOptions["sampleScore"];
  },
): SimulationOutcome[] {
  return Array.from({ length: options.runs }, (_, run) =>
    runRollout({
      settings: settingsOf(PLAN),
      plan: PLAN,
      random: createRandom(options.seed * 100_003 + run),
      answerCount: 40_000,
      vmCount: 8,
      ratedShare: 0.2,
      newRatedShare: 1,
      ratingDelayAnswers: 50,
      publishPeriodAnswers: 200,
      meanShare: 0.82,
      deviationShare: 0.15,
      lossOf: scenario.lossOf,
      policy: options.policy,
      sampleScore: options.sampleScore,
      ...scenario.changes,
    }));
}

function rowOf(
  scenario: Scenario,
  policy: RolloutPolicy,
  outcomes: readonly SimulationOutcome[],
): string {
  const share = (count: number): string =>
    `${(100 * count / outcomes.length).toFixed(1)} %`;
  const answers = outcomes.map((outcome) => outcome.badAnswerCount);
  const sessions = outcomes.map((outcome) => outcome.badSessionShare);
  const completed = outcomes.filter((outcome) => outcome.isCompleted);
  const completedAtAnswers = completed.map((outcome) =>
    outcome.completedAtAnswer
  );
  return "| " + [
    scenario.name,
    policy.name,
    share(outcomes.filter((outcome) => outcome.isStopped).length),
    share(completed.length),
    completed.length === 0 ? "" : quantileOf(completedAtAnswers, 0.5),
    quantileOf(answers, 0.5),
    quantileOf(answers, 0.95),
    `${(100 * quantileOf(sessions, 0.5)).toFixed(2)} %`,
  ].join(" | ") + " |";
}

const { values } = parseArgs({
  options: {
    runs: { type: "string", default: "100" },
    seed: { type: "string", default: "1" },
    only: { type: "string", default: "" },
    scores: { type: "string", default: "beta" },
    policy: { type: "string", default: "" },
  },
});
const runs = Number(values.runs);
const seed = Number(values.seed);
const sampleScore = values.scores === "all_or_nothing"
  ? sampleAllOrNothing
  : sampleBeta;
console.log(
  "| version | policy | stopped | completed | completed at (p50) | " +
    "bad answers p50 | p95 | sessions with one p50 |",
);
console.log("| --- | --- | --- | --- | --- | --- | --- | --- |");
for (const scenario of SCENARIOS) {
  if (!scenario.name.includes(values.only)) continue;
  for (const policy of [SEQUENTIAL_POLICY, createTimedPolicy(STEP_ANSWERS)]) {
    if (!policy.name.includes(values.policy)) continue;
    const options = { policy, runs, seed, sampleScore };
    const outcomes = runScenario(scenario, options);
    console.log(rowOf(scenario, policy, outcomes));
  }
}
process.exitCode = 0;
