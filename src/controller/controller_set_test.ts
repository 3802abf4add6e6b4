/** Tests of the runner of controllers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { noMetrics, silentLogger } from "../model/mod.ts";
import { type Controller, createControllerSet } from "./controller_set.ts";

test("a failing controller runs again and stops none of the others", async () => {
  const runs: string[] = [];
  const ended = { resolve: (): void => {} };
  const enough = new Promise<void>((resolve) => {
    ended.resolve = resolve;
  });
  const create = (name: string, fails: boolean): Controller => ({
    name,
    periodMs: 1,
    run: () => {
      runs.push(name);
      if (runs.length >= 8) ended.resolve();
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
  await enough;
  await set.stop();
  const count = (name: string): number =>
    runs.filter((run) => run === name).length;
  assert.ok(count("a") >= 3 && count("b") >= 3);
  assert.deepEqual(runs.slice(-2).sort(), ["stop a", "stop b"]);
});
