/** Tests of the format of log lines. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogger } from "./telemetry.ts";

test("a log line is one JSON object with its source and fields", () => {
  const lines: string[] = [];
  const source = { program: "entry", vm: "a-1", place: "khomas-a" };
  const logger = createLogger(source, (line) => lines.push(line));
  logger.warn("append failed", { requestId: "r1", timeoutMs: 5 });
  const line = JSON.parse(lines[0] ?? "");
  assert.equal(line.level, "WARN");
  assert.equal(line.event, "append failed");
  assert.equal(line.vm, "a-1");
  assert.equal(line.place, "khomas-a");
  assert.equal(line.requestId, "r1");
  assert.equal(line.timeoutMs, 5);
  assert.ok(Date.parse(line.time) > 0);
});
