/** Tests of roll-outs: steps, stops, restarts and racing controllers. */
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

/** A process that takes ratings and steps against one log. */
class Site {
  readonly records: LogRecord[] = [];
  control: ControlState;
  watch: VersionWatch;
  #drawCount = 0;

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
      this.#drawCount += 1;
      this.#addScore(version, sampleScore(this.#drawCount, options));
    }
  }

  rateAllOrNothing(
    version: VersionName,
    options: { readonly count: number; readonly meanShare: number },
  ): void {
    for (let index = 0; index < options.count; index += 1) {
      this.#drawCount += 1;
      const isGood = hashShare(`draw ${this.#drawCount}`) < options.meanShare;
      this.#addScore(version, isGood ? 1 : 0);
    }
  }

  skipDraws(count: number): void {
    this.#drawCount += count;
  }

  #addScore(version: VersionName, scoreShare: number): void {
    const rating = { version, requestClass: "drafting" as const, scoreShare };
    this.watch = this.watch.addRating(rating, this.control);
  }

  /** Publishes this VM's totals and forgets everything but the records. */
  restart(): void {
    for (const { version, requestClass, sum } of this.watch.own.sums()) {
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
    const move = this.watch.decisions[0];
    const record = move && stepRecordOf(move.verdict, move.input);
    if (record !== undefined) this.append(record);
    return record;
  }

  get verdict(): string | undefined {
    return this.control.rollouts.get("middle-2")?.step.verdict;
  }
}

test("a good version passes all steps, each on fresh ratings", () => {
  const site = new Site();
  const verdicts: (string | undefined)[] = [];
  for (let step = 0; step < 4; step += 1) {
    verdicts.push(site.step()?.verdict);
    assert.equal(site.next, "hold");
    site.rate("middle@2", { count: 400, meanShare: 0.82 });
  }
  assert.deepEqual(verdicts, ["start", "advance", "advance", "complete"]);
});

test("without ratings a step holds", () => {
  const site = new Site();
  site.step();
  site.rate("middle@2", { count: 29, meanShare: 0.9 });
  const verdict = site.watch.decisions[0]?.verdict;
  assert.deepEqual(verdict, { kind: "hold", reason: "few_ratings" });
});

test("a paused roll-out neither starts nor advances, but withdraws", () => {
  const idle = new Site({ isPaused: true });
  assert.equal(idle.next, "hold");
  const site = new Site();
  site.step();
  const settings = createSettings({
    rollouts: [createPlan({ isPaused: true })],
  });
  site.append({ ...createTreeRecord(settings), id: "pause" });
  site.rate("middle@2", { count: 300, meanShare: 0.82 });
  assert.equal(site.next, "hold");
  site.rate("middle@2", { count: 100, meanShare: 0.3 });
  assert.equal(site.next, "withdraw");
});

test("a version bad at once is stopped here before any record", () => {
  const site = new Site();
  site.step();
  let ratingCount = 0;
  while (!site.watch.stops.has("middle@2") && ratingCount < 60) {
    site.rate("middle@2", { count: 1, meanShare: 0.3 });
    ratingCount += 1;
  }
  assert.ok(ratingCount < 20, `stopped after ${ratingCount} ratings`);
  assert.equal(site.verdict, "start");
  assert.equal(site.step()?.verdict, "withdraw");
  assert.equal(site.next, "ended");
});

test("a version turning bad slowly is withdrawn at its step", () => {
  const site = new Site();
  site.step();
  for (let meanShare = 0.8; meanShare > 0.4; meanShare -= 0.01) {
    site.rate("middle@2", { count: 10, meanShare });
  }
  assert.equal(site.next, "withdraw");
});

test("windows find a change that the step's good ratings dilute", () => {
  const site = new Site();
  site.step();
  site.rate("middle@2", { count: 1500, meanShare: 0.85 });
  site.rate("middle@2", { count: 80, meanShare: 0.4 });
  assert.equal(site.next, "withdraw");
});

test("a version turning bad after completion is withdrawn", () => {
  const site = new Site();
  for (let step = 0; step < 3; step += 1) {
    site.step();
    site.rate("middle@2", { count: 400, meanShare: 0.82 });
  }
  assert.equal(site.step()?.verdict, "complete");
  site.rate("middle@2", { count: 200, meanShare: 0.82 });
  assert.equal(site.next, "hold");
  site.rate("middle@2", { count: 80, meanShare: 0.3 });
  assert.equal(site.step()?.verdict, "withdraw");
});

test("ratings of all or nothing do not stop a good version", () => {
  let stopCount = 0;
  for (let run = 0; run < 40; run += 1) {
    const site = new Site();
    site.skipDraws(run * 10_000);
    site.rateAllOrNothing("middle@1", { count: 500, meanShare: 0.8 });
    site.step();
    site.rateAllOrNothing("middle@2", { count: 500, meanShare: 0.8 });
    if (site.watch.stops.has("middle@2")) stopCount += 1;
  }
  assert.equal(stopCount, 0);
});

test("a version that loses a little too much holds, however long", () => {
  const site = new Site();
  site.step();
  site.rate("middle@2", { count: 60, meanShare: 0.74 });
  const verdict = site.watch.decisions[0]?.verdict;
  assert.deepEqual(verdict, { kind: "hold", reason: "undecided" });
});

test("a roll-out goes on from records alone after a restart at each step", () => {
  for (const restartAt of [0, 1, 2, 3]) {
    const site = new Site();
    const verdicts: (string | undefined)[] = [];
    for (let step = 0; step < 4; step += 1) {
      if (step === restartAt) site.restart();
      verdicts.push(site.step()?.verdict);
      if (step === restartAt) site.restart();
      site.rate("middle@2", { count: 400, meanShare: 0.82 });
    }
    assert.deepEqual(verdicts, ["start", "advance", "advance", "complete"]);
  }
});

test("of two controllers that take a step at once one has no effect", () => {
  const site = new Site();
  site.step();
  site.rate("middle@2", { count: 400, meanShare: 0.82 });
  const move = site.watch.decisions[0];
  assert.ok(move !== undefined);
  const record = stepRecordOf(move.verdict, move.input);
  assert.ok(record !== undefined);
  site.append(record);
  const position = site.control.rollouts.get("middle-2")?.position;
  site.append({ ...record, id: "other" });
  site.append({ ...record, id: "late", verdict: "withdraw" });
  const progress = site.control.rollouts.get("middle-2");
  assert.equal(progress?.position, position);
  assert.equal(progress?.step.stepIndex, 1);
});

test("while the log is down the version stays stopped here", () => {
  const site = new Site();
  site.step();
  site.rate("middle@2", { count: 40, meanShare: 0.3 });
  site.rate("middle@2", { count: 200, meanShare: 0.95 });
  assert.equal(site.verdict, "start");
  assert.ok(site.watch.stops.has("middle@2"));
  assert.equal(site.step()?.verdict, "withdraw");
});
