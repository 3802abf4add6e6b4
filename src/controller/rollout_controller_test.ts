/** Tests of the roll-out controller, also with a failing log. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createPlan,
  createSettings,
  createTreeRecord,
} from "../decision/version_fixture.ts";
import {
  isUsable,
  noMetrics,
  ROOT_PATH,
  silentLogger,
  type VersionName,
} from "../model/mod.ts";
import { MemoryJournal, MemoryLog } from "../client/memory_journal.ts";
import { type LogRecord } from "../state/mod.ts";
import { createRolloutController } from "./rollout_controller.ts";

const CONTEXT = {
  clock: () => 0,
  logger: silentLogger,
  metrics: noMetrics,
  signal: new AbortController().signal,
};

class TestSetup {
  readonly log = new MemoryLog();
  readonly journal = new MemoryJournal(this.log);

  constructor() {
    this.log.push(createTreeRecord(createSettings({
      allowed: ["middle@1", "middle@2"],
      rollouts: [createPlan({ stepShares: [0.1, 1] })],
    })));
    this.addRatings("middle@1", { count: 500, scoreShare: 0.82 });
  }

  /** Runs a new controller once; it has no state but the records. */
  async runNewController(): Promise<void> {
    const journal = new MemoryJournal(this.log);
    const options = { journal, periodMs: 1000, appendTimeoutMs: 1000 };
    await createRolloutController(options).run(CONTEXT);
  }

  addRatings(
    version: VersionName,
    options: { readonly count: number; readonly scoreShare: number },
  ): void {
    const { count, scoreShare } = options;
    this.log.push({
      kind: "quality",
      id: `quality-${this.log.records.length}`,
      vm: "vm-1",
      version,
      requestClass: "drafting",
      count,
      scoreSum: count * scoreShare,
      scoreSquareSum: count * (scoreShare ** 2 + 0.02),
    });
  }

  verdicts(): string[] {
    const verdictOf = (record: LogRecord): string =>
      record.kind === "rollout_step" ? record.verdict : "";
    return this.log.records.map(verdictOf).filter((verdict) => verdict !== "");
  }

  get isWithdrawn(): boolean {
    const { tree } = this.journal.control();
    return !isUsable(tree.resolve(ROOT_PATH).values, "middle@2");
  }
}

test("a good version completes although controllers restart after each run", async () => {
  const setup = new TestSetup();
  for (let run = 1; run <= 3; run += 1) {
    await setup.runNewController();
    await setup.runNewController();
    setup.addRatings("middle@2", { count: 300 * run, scoreShare: 0.82 });
  }
  assert.deepEqual(setup.verdicts(), ["start", "advance", "complete"]);
});

test("a bad version is withdrawn by one step and one edit", async () => {
  const setup = new TestSetup();
  await setup.runNewController();
  setup.addRatings("middle@2", { count: 100, scoreShare: 0.3 });
  for (let run = 0; run < 4; run += 1) await setup.runNewController();
  assert.deepEqual(setup.verdicts(), ["start", "withdraw"]);
  assert.equal(setup.isWithdrawn, true);
  const edits = setup.log.records.filter((record) => record.kind === "edit");
  assert.equal(edits.length, 2);
});

test("after a crash between step and edit the next controller appends the edit", async () => {
  const setup = new TestSetup();
  await setup.runNewController();
  setup.addRatings("middle@2", { count: 100, scoreShare: 0.3 });
  setup.log.beforeAppend = () => {
    setup.log.mode = setup.verdicts().includes("withdraw") ? "down" : "up";
    return Promise.resolve();
  };
  await setup.runNewController();
  assert.deepEqual([setup.verdicts().at(-1), setup.isWithdrawn], [
    "withdraw",
    false,
  ]);
  setup.log.beforeAppend = () => Promise.resolve();
  setup.log.mode = "up";
  await setup.runNewController();
  assert.equal(setup.isWithdrawn, true);
});

test("a roll-out pauses while the log is down and then continues", async () => {
  const setup = new TestSetup();
  await setup.runNewController();
  setup.addRatings("middle@2", { count: 300, scoreShare: 0.82 });
  setup.log.mode = "down";
  await setup.runNewController();
  assert.deepEqual(setup.verdicts(), ["start"]);
  setup.log.mode = "reply_lost";
  await setup.runNewController();
  await setup.runNewController();
  assert.deepEqual(setup.verdicts(), ["start", "advance"]);
});

test("a withdrawal undone by an operator is not repeated", async () => {
  const setup = new TestSetup();
  await setup.runNewController();
  setup.addRatings("middle@2", { count: 100, scoreShare: 0.3 });
  await setup.runNewController();
  await setup.runNewController();
  const { revision } = setup.journal.control();
  setup.log.push({
    ...createTreeRecord(createSettings({ withdrawn: [] })),
    id: "undo",
    change: { set: { withdrawn: [] }, clear: [] },
    base: revision,
  });
  await setup.runNewController();
  assert.equal(setup.isWithdrawn, false);
});
