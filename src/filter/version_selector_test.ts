/** Tests of the version selector: rating and publishing of ratings. */
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

class SelectorFixture {
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

  shouldEscalate(
    answer: ModelAnswer,
    isRequired: boolean,
  ): Promise<boolean | undefined> {
    const { signal } = new AbortController();
    const query = { request: REQUEST, answer, isRequired, signal };
    return this.selector.shouldEscalate(query, 0.7);
  }

  async answer(text: string): Promise<void> {
    this.selector.observeAnswer(REQUEST, answerOf(text));
    await Promise.resolve();
    await Promise.resolve();
  }
}

test("an answer outside the sample is not rated", async () => {
  const fixture = new SelectorFixture();
  await fixture.answer("one");
  assert.equal(fixture.rated.length, 0);
});

test("after an answer below the target the next ones are rated", async () => {
  const fixture = new SelectorFixture();
  fixture.scoreShare = 0.1;
  assert.equal(await fixture.shouldEscalate(answerOf("short"), false), true);
  fixture.scoreShare = 0.9;
  for (let index = 0; index < 30; index += 1) await fixture.answer(`a${index}`);
  assert.equal(fixture.rated.length, 1 + 20);
});

test("an answer rated for escalation is not sampled again", async () => {
  const fixture = new SelectorFixture();
  fixture.scoreShare = 0.1;
  const answer = answerOf("short");
  await fixture.shouldEscalate(answer, true);
  fixture.selector.observeAnswer(REQUEST, answer);
  assert.equal(fixture.rated.length, 1);
});

test("an answer that could not be rated is neither good nor below the target", async () => {
  const fixture = new SelectorFixture();
  fixture.scoreShare = undefined;
  assert.equal(await fixture.shouldEscalate(answerOf("late"), true), undefined);
});

test("ratings are published once they have grown", async () => {
  const fixture = new SelectorFixture();
  await fixture.shouldEscalate(answerOf("good"), true);
  await fixture.selector.publish();
  const { position } = fixture.journal.control();
  const [record] = fixture.journal.control().quality.values();
  assert.equal(record?.count, 1);
  await fixture.selector.publish();
  assert.equal(fixture.journal.control().position, position);
});

test("budget pressure suppresses optional escalations only", async () => {
  const fixture = new SelectorFixture();
  fixture.scoreShare = 0.6;
  assert.equal(await fixture.shouldEscalate(answerOf("a"), false), true);
  fixture.pressureShare = 0.5;
  assert.equal(await fixture.shouldEscalate(answerOf("b"), false), false);
  assert.equal(await fixture.shouldEscalate(answerOf("c"), true), true);
  fixture.scoreShare = 0.1;
  assert.equal(await fixture.shouldEscalate(answerOf("d"), false), true);
  fixture.pressureShare = 1;
  assert.equal(await fixture.shouldEscalate(answerOf("e"), false), false);
});
