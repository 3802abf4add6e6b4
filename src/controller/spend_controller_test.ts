/** Tests of the controller that publishes billed totals. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ok } from "neverthrow";
import { noMetrics, type SettingsPath, silentLogger } from "../model/mod.ts";
import { ControlState, type LedgerTotal, type RecordOf } from "../state/mod.ts";
import { createSpendController } from "./spend_controller.ts";

const WORKSPACE: SettingsPath = "/khomas/heritage";
const STEP_MS = 1000;

class TestSetup {
  nowMs = 0;
  control = ControlState.empty;
  total: LedgerTotal = { billCount: 1, priceMicroEur: 5 };
  appendCount = 0;

  controllerOf(random: number): () => Promise<void> {
    const controller = createSpendController({
      journal: {
        control: () => this.control,
        billedTotals: () => new Map([[WORKSPACE, this.total]]),
        append: (record) => {
          this.control = this.control.apply({
            offset: this.appendCount,
            records: [record],
          });
          this.appendCount += 1;
          return Promise.resolve(ok(this.control.position));
        },
      },
      clock: () => this.nowMs,
      random: () => random,
      periodMs: STEP_MS,
      appendTimeoutMs: STEP_MS,
    });
    return () =>
      controller.run({
        clock: () => this.nowMs,
        logger: silentLogger,
        metrics: noMetrics,
        signal: new AbortController().signal,
      });
  }
}

test("several controllers together publish a growing total once per interval", async () => {
  const setup = new TestSetup();
  const runs = [0.1, 0.5, 0.9].map((random) => setup.controllerOf(random));
  for (let step = 0; step < 60; step += 1) {
    setup.nowMs += STEP_MS;
    setup.total = { billCount: step + 1, priceMicroEur: 5 * (step + 1) };
    for (const run of runs) await run();
  }
  assert.ok(setup.appendCount >= 4, `${setup.appendCount} records`);
  assert.ok(setup.appendCount <= 6, `${setup.appendCount} records`);
  const spend = setup.control.spends.get(WORKSPACE);
  assert.equal(spend?.priceMicroEur, 5 * (spend?.billCount ?? 0));
});

test("an unchanged total is not published again", async () => {
  const setup = new TestSetup();
  const run = setup.controllerOf(0);
  for (let step = 0; step < 60; step += 1) {
    setup.nowMs += STEP_MS;
    await run();
  }
  assert.equal(setup.appendCount, 1);
});

test("a late record with a lower bill count is ignored", () => {
  const spendsAfter = (id: string, billCount: number): ControlState["spends"] =>
    ControlState.empty.apply({
      offset: 0,
      records: [
        spendOf("a", 9),
        spendOf(id, billCount),
      ],
    }).spends;
  assert.equal(spendsAfter("b", 4).get(WORKSPACE)?.billCount, 9);
  assert.equal(spendsAfter("b", 12).get(WORKSPACE)?.billCount, 12);
});

function spendOf(id: string, billCount: number): RecordOf<"spend"> {
  return {
    id,
    kind: "spend",
    workspace: WORKSPACE,
    billCount,
    priceMicroEur: billCount,
  };
}
