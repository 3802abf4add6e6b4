/** Tests of the version selector: what is rated and what is published. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok } from "neverthrow";
import { type ModelRequest, type VersionName } from "../model/mod.ts";
import {
  MemoryJournal,
  MemoryLog,
  RatingError,
  type RatingRequest,
} from "../client/mod.ts";
import { type ModelAnswer } from "./context.ts";
import { VersionSelector } from "./version_selector.ts";

const VERSION: VersionName = "drafter@1";
const REQUEST: ModelRequest = {
  kind: "model",
  requestId: "r1",
  workspace: "/khomas/heritage",
  session: undefined,
  idempotencyKey: undefined,
  deadlineMs: 1000,
  requestClass: "drafting",
  messages: [{ role: "user", content: "draft" }],
  maxTokens: 10,
  isStreaming: true,
};

function answerOf(text: string): ModelAnswer {
  return {
    kind: "model",
    version: VERSION,
    text,
    usage: { inputTokens: 1, outputTokens: 1 },
  };
}

class Bench {
  readonly rated: RatingRequest[] = [];
  readonly journal = new MemoryJournal(new MemoryLog());
  scoreShare: number | undefined = 0.9;
  pressureShare = 0;
  readonly selector = new VersionSelector({
    self: "khomas-a-1",
    journal: this.journal,
    rating: {
      rate: (request) => {
        this.rated.push(request);
        if (this.scoreShare !== undefined) {
          return Promise.resolve(ok(this.scoreShare));
        }
        return Promise.resolve(err(new RatingError("timeout", "late")));
      },
      isAvailable: () => true,
      close: () => Promise.resolve(),
    },
    budgetPressureOf: () => this.pressureShare,
    sampleShare: 0.2,
    publishTimeoutMs: 1000,
    makeId: () => `id-${this.rated.length}`,
    random: () => 0.5,
  });

  fallsShort(
    answer: ModelAnswer,
    isRequired: boolean,
  ): Promise<boolean | undefined> {
    const { signal } = new AbortController();
    const query = { request: REQUEST, answer, isRequired, signal };
    return this.selector.fallsShort(query, 0.7);
  }

  async answer(text: string): Promise<void> {
    this.selector.observeAnswer(REQUEST, answerOf(text));
    await Promise.resolve();
    await Promise.resolve();
  }
}

test("an answer outside the sample is not rated", async () => {
  const bench = new Bench();
  await bench.answer("one");
  assert.equal(bench.rated.length, 0);
});

test("after an answer that fell short the next ones are rated", async () => {
  const bench = new Bench();
  bench.scoreShare = 0.1;
  assert.equal(await bench.fallsShort(answerOf("short"), false), true);
  bench.scoreShare = 0.9;
  for (let index = 0; index < 30; index += 1) await bench.answer(`a${index}`);
  assert.equal(bench.rated.length, 1 + 20);
});

test("an answer is rated once, however it came to be rated", async () => {
  const bench = new Bench();
  bench.scoreShare = 0.1;
  const answer = answerOf("short");
  await bench.fallsShort(answer, true);
  bench.selector.observeAnswer(REQUEST, answer);
  assert.equal(bench.rated.length, 1);
});

test("an answer that could not be rated is neither good nor short", async () => {
  const bench = new Bench();
  bench.scoreShare = undefined;
  assert.equal(await bench.fallsShort(answerOf("late"), true), undefined);
});

test("ratings are published once they have grown", async () => {
  const bench = new Bench();
  await bench.fallsShort(answerOf("good"), true);
  await bench.selector.publish();
  const { position } = bench.journal.control();
  const [record] = bench.journal.control().quality.values();
  assert.equal(record?.count, 1);
  await bench.selector.publish();
  assert.equal(bench.journal.control().position, position);
});

test("pressure on the budget gives up optional escalations only", async () => {
  const bench = new Bench();
  bench.scoreShare = 0.6;
  assert.equal(await bench.fallsShort(answerOf("a"), false), true);
  bench.pressureShare = 0.5;
  assert.equal(await bench.fallsShort(answerOf("b"), false), false);
  assert.equal(await bench.fallsShort(answerOf("c"), true), true);
  bench.scoreShare = 0.1;
  assert.equal(await bench.fallsShort(answerOf("d"), false), true);
  bench.pressureShare = 1;
  assert.equal(await bench.fallsShort(answerOf("e"), false), false);
});
