/** Tests of kept answers: bounds, and following an answer that runs. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type AnswerFrame } from "../model/mod.ts";
import { type AnswerSink } from "./answer_sink.ts";
import { RetainedAnswers } from "./retained_answers.ts";

const NO_SINK: AnswerSink = {
  begin: () => {},
  write: () => Promise.resolve(),
};

function frame(requestId: string, index: number, text = "x"): AnswerFrame {
  return {
    requestId,
    attempt: 0,
    index,
    text,
    isLast: false,
    usage: undefined,
  };
}

async function keep(
  kept: RetainedAnswers,
  requestId: string,
  text = "x",
): Promise<void> {
  const sink = kept.retain(requestId, { workspace: "/a/b", sink: NO_SINK });
  await sink.write(frame(requestId, 0, text));
  kept.finish(requestId, "whole");
}

test("the number of answers is bounded, the oldest goes first", async () => {
  const kept = new RetainedAnswers({ maxAnswers: 2, maxBytes: 1_000_000 });
  for (const id of ["r-1", "r-2", "r-3"]) await keep(kept, id);
  assert.equal(kept.find("r-1"), undefined);
  assert.ok(kept.find("r-2"));
  assert.ok(kept.find("r-3"));
});

test("the size of answers is bounded, also of one that still runs", async () => {
  const kept = new RetainedAnswers({ maxAnswers: 100, maxBytes: 5000 });
  for (let count = 0; count < 20; count += 1) {
    await keep(kept, `r-${count}`, "x".repeat(500));
    assert.ok(kept.sizeBytes <= 5000);
  }
  const sink = kept.retain("long", { workspace: "/a/b", sink: NO_SINK });
  for (let index = 0; index < 20; index += 1) {
    await sink.write(frame("long", index, "x".repeat(500)));
    assert.ok(kept.sizeBytes <= 5000);
  }
  assert.equal(kept.find("long"), undefined);
});

test("a follower is woken by each frame and by the end", async () => {
  const kept = new RetainedAnswers({ maxAnswers: 2, maxBytes: 5000 });
  const { signal } = new AbortController();
  const sink = kept.retain("r-1", { workspace: "/a/b", sink: NO_SINK });
  const grown = kept.waitForChange("r-1", signal);
  await sink.write(frame("r-1", 0));
  await grown;
  const ended = kept.waitForChange("r-1", signal);
  kept.finish("r-1", "whole");
  await ended;
  assert.equal(kept.find("r-1")?.end, "whole");
});

test("an answer without a frame is not kept", () => {
  const kept = new RetainedAnswers({ maxAnswers: 2, maxBytes: 5000 });
  kept.retain("r-1", { workspace: "/a/b", sink: NO_SINK });
  kept.finish("r-1", {
    outcome: "not_run",
    reason: "overloaded",
    detail: "",
    retryAfterMs: 1,
  });
  assert.equal(kept.count, 0);
});
