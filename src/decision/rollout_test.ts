/** Tests of roll-outs: steps, stops, restarts, concurrent controllers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { hashShare, type RolloutPlan, type VersionName } from "../model/mod.ts";
import {
  type ControlState,
  type LogRecord,
  type RecordOf,
} from "../state/mod.ts";
import { stepRecordOf } from "./rollout.ts";
import {
  createControl,
  createPlan,
  createSettings,
  createTreeRecord,
  sampleScore,
} from "./version_fixture.ts";
import { VersionWatch } from "./version_watch.ts";

const BASELINE_RATINGS = 400;

/** A process that adds ratings and takes steps against one log. */
class Harness {
  readonly records: LogRecord[] = [];
  control: ControlState;
  watch: VersionWatch;
  #sampleCount = 0;

  constructor(changes: Partial<RolloutPlan> = {}) {
    const settings = createSettings({
      allowed: ["middle@1", "middle@2"],
      rollouts: [createPlan(changes)],
    });
    this.records.push(createTreeRecord(settings));
    this.control = createControl(this.records);
    this.watch = VersionWatch.create("vm-1", this.control);
    this.rate("middle@1", { count: BASELINE_RATINGS, meanShare: 0.82 });
  }

  append(record: LogRecord): void {
    this.records.push(record);
    this.control = createControl(this.records);
    this.watch = this.watch.observe(this.control);
  }

  rate(
    version: VersionName,
    options: {
      readonly count: number;
      readonly meanShare: number;
      readonly deviationShare?: number;
    },
  ): void {
    for (let index = 0; index < options.count; index += 1) {
      this.#sampleCount += 1;
      this.#addScore(version, sampleScore(this.#sampleCount, options));
    }
  }

  rateZeroOrOne(
    version: VersionName,
    options: { readonly count: number; readonly meanShare: number },
  ): void {
    for (let index = 0; index < options.count; index += 1) {
      this.#sampleCount += 1;
      const isGood = hashShare(`draw ${this.#sampleCount}`) < options.meanShare;
      this.#addScore(version, isGood ? 1 : 0);
    }
  }

  skipSamples(count: number): void {
    this.#sampleCount += count;
  }

  #addScore(version: VersionName, scoreShare: number): void {
    const rating = { version, requestClass: "drafting" as const, scoreShare };
    this.watch = this.watch.addRating(rating, this.control);
  }

  /** Publishes this VM's totals, then discards all state but the records. */
  restart(): void {
    for (const { version, requestClass, sum } of this.watch.ownRatings.sums()) {
      const id = `quality-${this.records.length}`;
      this.append({
        kind: "quality",
        id,
        vm: "vm-1",
        version,
        requestClass,
        ...sum,
      });
    }
    this.watch = VersionWatch.create("vm-1", this.control);
  }

  get next(): string {
    return this.watch.decisions[0]?.verdict.kind ?? "none";
  }

  step(): RecordOf<"rollout_step"> | undefined {
    const decision = this.watch.decisions[0];
    const record = decision && stepRecordOf(decision.verdict, decision.input);
    if (record !== undefined) this.append(record);
    return record;
  }

  get verdict(): string | undefined {
    return this.control.rollouts.get("middle-2")?.step.verdict;
  }
}

test("a good version passes all steps, each on new ratings", () => {
  const harness = new Harness();
  const verdicts: (string | undefined)[] = [];
  for (let step = 0; step < 4; step += 1) {
    verdicts.push(harness.step()?.verdict);
    assert.equal(harness.next, "hold");
    harness.rate("middle@2", { count: 400, meanShare: 0.82 });
  }
  assert.deepEqual(verdicts, ["start", "advance", "advance", "complete"]);
});

test("a step with too few ratings holds", () => {
  const harness = new Harness();
  harness.step();
  harness.rate("middle@2", { count: 29, meanShare: 0.9 });
  const verdict = harness.watch.decisions[0]?.verdict;
  assert.deepEqual(verdict, { kind: "hold", reason: "few_ratings" });
});

test("a paused roll-out neither starts nor advances, but withdraws", () => {
  const idle = new Harness({ isPaused: true });
  assert.equal(idle.next, "hold");
  const harness = new Harness();
  harness.step();
  const settings = createSettings({
    rollouts: [createPlan({ isPaused: true })],
  });
  harness.append({ ...createTreeRecord(settings), id: "pause" });
  harness.rate("middle@2", { count: 300, meanShare: 0.82 });
  assert.equal(harness.next, "hold");
  harness.rate("middle@2", { count: 100, meanShare: 0.3 });
  assert.equal(harness.next, "withdraw");
});

test("a version bad from the start is stopped locally before any record", () => {
  const harness = new Harness();
  harness.step();
  let ratingCount = 0;
  while (!harness.watch.localStops.has("middle@2") && ratingCount < 60) {
    harness.rate("middle@2", { count: 1, meanShare: 0.3 });
    ratingCount += 1;
  }
  assert.ok(ratingCount < 20, `stopped after ${ratingCount} ratings`);
  assert.equal(harness.verdict, "start");
  assert.equal(harness.step()?.verdict, "withdraw");
  assert.equal(harness.next, "ended");
});

test("a version turning bad slowly is withdrawn at its step", () => {
  const harness = new Harness();
  harness.step();
  for (let meanShare = 0.8; meanShare > 0.4; meanShare -= 0.01) {
    harness.rate("middle@2", { count: 10, meanShare });
  }
  assert.equal(harness.next, "withdraw");
});

test("windows detect a change that the step's good ratings dilute", () => {
  const harness = new Harness();
  harness.step();
  harness.rate("middle@2", { count: 1500, meanShare: 0.85 });
  harness.rate("middle@2", { count: 80, meanShare: 0.4 });
  assert.equal(harness.next, "withdraw");
});

test("a version turning bad after completion is withdrawn", () => {
  const harness = new Harness();
  for (let step = 0; step < 3; step += 1) {
    harness.step();
    harness.rate("middle@2", { count: 400, meanShare: 0.82 });
  }
  assert.equal(harness.step()?.verdict, "complete");
  harness.rate("middle@2", { count: 200, meanShare: 0.82 });
  assert.equal(harness.next, "hold");
  harness.rate("middle@2", { count: 80, meanShare: 0.3 });
  assert.equal(harness.step()?.verdict, "withdraw");
});

test("scores of only 0 and 1 do not stop a good version", () => {
  let stopCount = 0;
  for (let run = 0; run < 40; run += 1) {
    const harness = new Harness();
    harness.skipSamples(run * 10_000);
    harness.rateZeroOrOne("middle@1", { count: 500, meanShare: 0.8 });
    harness.step();
    harness.rateZeroOrOne("middle@2", { count: 500, meanShare: 0.8 });
    if (harness.watch.localStops.has("middle@2")) stopCount += 1;
  }
  assert.equal(stopCount, 0);
});

test("a step holds while a small loss is neither proven nor ruled out", () => {
  const harness = new Harness();
  harness.step();
  harness.rate("middle@2", { count: 60, meanShare: 0.74 });
  const verdict = harness.watch.decisions[0]?.verdict;
  assert.deepEqual(verdict, { kind: "hold", reason: "undecided" });
});

test("a roll-out resumes from the records after a restart at each step", () => {
  for (const restartAt of [0, 1, 2, 3]) {
    const harness = new Harness();
    const verdicts: (string | undefined)[] = [];
    for (let step = 0; step < 4; step += 1) {
      if (step === restartAt) harness.restart();
      verdicts.push(harness.step()?.verdict);
      if (step === restartAt) harness.restart();
      harness.rate("middle@2", { count: 400, meanShare: 0.82 });
    }
    assert.deepEqual(verdicts, ["start", "advance", "advance", "complete"]);
  }
});

test("of two concurrent steps by two controllers only one takes effect", () => {
  const harness = new Harness();
  harness.step();
  harness.rate("middle@2", { count: 400, meanShare: 0.82 });
  const decision = harness.watch.decisions[0];
  assert.ok(decision !== undefined);
  const record = stepRecordOf(decision.verdict, decision.input);
  assert.ok(record !== undefined);
  harness.append(record);
  const position = harness.control.rollouts.get("middle-2")?.position;
  harness.append({ ...record, id: "other" });
  harness.append({ ...record, id: "late", verdict: "withdraw" });
  const progress = harness.control.rollouts.get("middle-2");
  assert.equal(progress?.position, position);
  assert.equal(progress?.step.stepIndex, 1);
});

test("a version stays stopped locally while the log is down", () => {
  const harness = new Harness();
  harness.step();
  harness.rate("middle@2", { count: 40, meanShare: 0.3 });
  harness.rate("middle@2", { count: 200, meanShare: 0.95 });
  assert.equal(harness.verdict, "start");
  assert.ok(harness.watch.localStops.has("middle@2"));
  assert.equal(harness.step()?.verdict, "withdraw");
});
