/** Tests of the controller set. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { noMetrics, silentLogger } from "../model/mod.ts";
import { type Controller, createControllerSet } from "./controller_set.ts";

test("a failing controller runs again and does not stop the others", async () => {
  const runs: string[] = [];
  const finished = { resolve: (): void => {} };
  const enoughRuns = new Promise<void>((resolve) => {
    finished.resolve = resolve;
  });
  const create = (name: string, fails: boolean): Controller => ({
    name,
    periodMs: 1,
    run: () => {
      runs.push(name);
      if (runs.length >= 8) finished.resolve();
      return fails ? Promise.reject(new Error("broken")) : Promise.resolve();
    },
    stop: () => {
      runs.push(`stop ${name}`);
      return Promise.resolve();
    },
  });
  const set = createControllerSet([create("a", true), create("b", false)], {
    clock: () => 0,
    sleep: () => new Promise((resolve) => setImmediate(resolve)),
    logger: silentLogger,
    metrics: noMetrics,
  });
  set.start();
  await enoughRuns;
  await set.stop();
  const count = (name: string): number =>
    runs.filter((run) => run === name).length;
  assert.ok(count("a") >= 3 && count("b") >= 3);
  assert.deepEqual(runs.slice(-2).sort(), ["stop a", "stop b"]);
});
