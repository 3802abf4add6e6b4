/** Replays every recorded trace, and tests that differences are reported. */
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { replayTrace } from "./trace_replay.ts";

const TRACES_FOLDER = "traces";

for (const name of readdirSync(TRACES_FOLDER).sort()) {
  if (!name.endsWith(".jsonl")) continue;
  test(`the replay of ${name} has the stated outcomes`, () => {
    const text = readFileSync(join(TRACES_FOLDER, name), "utf8");
    const { checkedCount, difference } = replayTrace(text);
    assert.deepEqual(difference, undefined);
    assert.ok(checkedCount > 0);
  });
}

test("the first difference is reported with its line number", () => {
  const refusal = { event: "refusal", hasRun: true, isKeyed: true };
  const right = JSON.stringify({ ...refusal, stated: "may_have_run" });
  const wrong = JSON.stringify({ ...refusal, stated: "not_run" });
  assert.deepEqual(replayTrace(`${right}\n\n${wrong}\n${wrong}\n`), {
    checkedCount: 2,
    difference: {
      lineNumber: 3,
      event: "refusal",
      stated: '"not_run"',
      found: '"may_have_run"',
    },
  });
});

test("an invalid line is reported as a difference", () => {
  assert.equal(replayTrace("{").difference?.event, "unreadable");
  const unknown = replayTrace('{"event":"guess"}');
  assert.equal(unknown.difference?.lineNumber, 1);
});
