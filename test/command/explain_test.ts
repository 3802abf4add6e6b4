/** Tests of `goldcrestpost explain` as a process. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { runCli } from "./run_cli.ts";

function lineOf(seconds: number, event: string, request?: string): string {
  const time = `2026-12-04T07:00:${String(seconds).padStart(2, "0")}.000Z`;
  const fields = { time, level: "INFO", vm: "vm-1", event, request };
  return `${JSON.stringify(fields)}\n`;
}

test("logs are read from a pipe that is empty at first", async () => {
  const input = [lineOf(1, "request sent", "r1"), lineOf(4, "started")];
  const run = await runCli(["explain", "r1"], { input });
  assert.equal(run.status, 0, run.errors);
  assert.match(run.output, /the next one began 3000 ms later/);
});

test("an unknown request is reported with the time that the logs cover", async () => {
  const input = [lineOf(1, "started"), lineOf(4, "stopped")];
  const run = await runCli(["explain", "r9"], { input });
  assert.equal(run.status, 1, run.errors);
  assert.match(run.output, /vm-1 from .*07:00:01.* to .*07:00:04/);
});
