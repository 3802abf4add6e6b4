/** Tests of the budget of retries that all VMs share. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../decision/membership_fixture.ts";
import { RetryBudget } from "./retry_budget.ts";

const BOUND = { ratio: 0.9, slackCount: 210, windowMs: 10_000 };
const SERVICE = "models";
const VM_COUNT = 85;
const STEP_MS = 50;
const PLAY_MS = 40_000;
/** A VM that starts knows one more of the others each 100 ms. */
const MEMBERS_PER_MS = 1 / 100;
/** Repeats of a request: three runs, and servers that refused it. */
const MAX_RETRIES = 4;

/** Counts of one step of the play. */
interface Step {
  readonly requestCount: number;
  readonly retryCount: number;
}

interface Play {
  readonly seed: number;
  /** Requests of all VMs together in a step. */
  readonly requestsPerStep: number;
  /** When `share` of the VMs start again. */
  readonly restartsAtMs: readonly number[];
  readonly share: number;
}

/**
 * Plays VMs whose requests all fail and are sent again while the budget allows
 * it.
 */
function play({ seed, requestsPerStep, restartsAtMs, share }: Play): Step[] {
  const random = seededRandom(seed);
  let nowMs = 0;
  const start = (startedAtMs: number): RetryBudget =>
    new RetryBudget({
      fleetBound: BOUND,
      clock: () => nowMs,
      vmCount: () =>
        Math.min(
          VM_COUNT,
          1 + Math.floor((nowMs - startedAtMs) * MEMBERS_PER_MS),
        ),
    });
  const vms = Array.from({ length: VM_COUNT }, () => start(-PLAY_MS));
  const steps: Step[] = [];
  for (; nowMs < PLAY_MS; nowMs += STEP_MS) {
    if (restartsAtMs.includes(nowMs)) {
      for (let vm = 0; vm < share * VM_COUNT; vm++) vms[vm] = start(nowMs);
    }
    let retryCount = 0;
    for (let index = 0; index < requestsPerStep; index++) {
      const budget = vms[Math.floor(random() * VM_COUNT)];
      budget?.earn(SERVICE);
      for (let retry = 0; retry < MAX_RETRIES; retry++) {
        if (budget?.spend(SERVICE, "failure")) retryCount += 1;
      }
    }
    steps.push({ requestCount: requestsPerStep, retryCount });
  }
  return steps;
}

/**
 * Returns the most retries of a window beyond its bound. The requests are those
 * of the window, the one before it or the one half a window before it.
 */
function mostBeyondBound(steps: readonly Step[]): number {
  const length = BOUND.windowMs / STEP_MS;
  const sum = (from: number, of: (step: Step) => number): number =>
    steps.slice(Math.max(0, from), Math.max(0, from + length))
      .reduce((total, step) => total + of(step), 0);
  let most = -Infinity;
  for (let from = 0; from + length <= steps.length; from++) {
    const requestCount = Math.max(
      ...[0, length / 2, length].map((before) =>
        sum(from - before, (step) => step.requestCount)
      ),
    );
    const retryCount = sum(from, (step) => step.retryCount);
    const allowedCount = BOUND.ratio * requestCount + BOUND.slackCount;
    most = Math.max(most, retryCount - allowedCount);
  }
  return most;
}

// Guards against VMs that start again and each take the slack of all VMs.
for (const restartsAtMs of [[15_000], [12_000, 17_000, 22_000]]) {
  for (const requestsPerStep of [1, 8]) {
    test(`VMs that start again at ${restartsAtMs} ms keep the retries of all within their bound: ${requestsPerStep} requests a step`, () => {
      for (let seed = 1; seed <= 5; seed++) {
        const steps = play({ seed, requestsPerStep, restartsAtMs, share: 0.6 });
        const beyondCount = mostBeyondBound(steps);
        assert.ok(beyondCount <= 0, `seed ${seed}: ${beyondCount} beyond`);
      }
    });
  }
}

test("a VM that has run for a window uses its part of the slack", () => {
  let nowMs = 0;
  const budget = new RetryBudget({
    fleetBound: BOUND,
    clock: () => nowMs,
    vmCount: () => 3,
  });
  nowMs = BOUND.windowMs + 1;
  let spentCount = 0;
  while (budget.spend(SERVICE, "failure")) spentCount += 1;
  assert.ok(spentCount >= 0.9 * BOUND.slackCount / 3 - 1, `${spentCount}`);
});

// Guards against ORDER and LOST: where servers mark no ends, the runs that
// confirm them left no retry for streams that broke.
test("confirming unmarked ends leaves retries for failures", () => {
  const requestCount = 100;
  const budget = new RetryBudget({
    fleetBound: { ratio: 0.2, slackCount: 0, windowMs: 10_000 },
    clock: () => 0,
    vmCount: () => 1,
  });
  for (let index = 0; index < requestCount; index++) {
    budget.earn(SERVICE);
    budget.spend(SERVICE, "unmarked_end");
  }
  assert.ok(budget.spend(SERVICE, "failure"));
});
