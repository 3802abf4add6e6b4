/** Tests of retained answers: limits, and following a running answer. */
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

async function retain(
  retainedAnswers: RetainedAnswers,
  requestId: string,
  text = "x",
): Promise<void> {
  const sink = retainedAnswers.retain(requestId, {
    workspace: "/a/b",
    sink: NO_SINK,
  });
  await sink.write(frame(requestId, 0, text));
  retainedAnswers.finish(requestId, "complete");
}

test("the number of answers is bounded, the oldest is evicted first", async () => {
  const retainedAnswers = new RetainedAnswers({
    maxAnswers: 2,
    maxBytes: 1_000_000,
  });
  for (const id of ["r-1", "r-2", "r-3"]) await retain(retainedAnswers, id);
  assert.equal(retainedAnswers.find("r-1"), undefined);
  assert.ok(retainedAnswers.find("r-2"));
  assert.ok(retainedAnswers.find("r-3"));
});

test("the size of answers is bounded, also while one is running", async () => {
  const retainedAnswers = new RetainedAnswers({
    maxAnswers: 100,
    maxBytes: 5000,
  });
  for (let count = 0; count < 20; count += 1) {
    await retain(retainedAnswers, `r-${count}`, "x".repeat(500));
    assert.ok(retainedAnswers.sizeBytes <= 5000);
  }
  const sink = retainedAnswers.retain("long", {
    workspace: "/a/b",
    sink: NO_SINK,
  });
  for (let index = 0; index < 20; index += 1) {
    await sink.write(frame("long", index, "x".repeat(500)));
    assert.ok(retainedAnswers.sizeBytes <= 5000);
  }
  assert.equal(retainedAnswers.find("long"), undefined);
});

test("waitForChange resolves on each frame and at the end", async () => {
  const retainedAnswers = new RetainedAnswers({
    maxAnswers: 2,
    maxBytes: 5000,
  });
  const { signal } = new AbortController();
  const sink = retainedAnswers.retain("r-1", {
    workspace: "/a/b",
    sink: NO_SINK,
  });
  const grown = retainedAnswers.waitForChange("r-1", signal);
  await sink.write(frame("r-1", 0));
  await grown;
  const ended = retainedAnswers.waitForChange("r-1", signal);
  retainedAnswers.finish("r-1", "complete");
  await ended;
  assert.equal(retainedAnswers.find("r-1")?.end, "complete");
});

test("an answer without a frame is not retained", () => {
  const retainedAnswers = new RetainedAnswers({
    maxAnswers: 2,
    maxBytes: 5000,
  });
  retainedAnswers.retain("r-1", { workspace: "/a/b", sink: NO_SINK });
  retainedAnswers.finish("r-1", {
    outcome: "not_run",
    reason: "overloaded",
    detail: "",
    retryAfterMs: 1,
  });
  assert.equal(retainedAnswers.count, 0);
});
