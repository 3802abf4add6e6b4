/** Tests of the cascade: which model answers first, and which one next. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { firstModel, MIN_CONFIDENCE, nextModel } from "./model_escalation.ts";

const MODELS = ["small", "middle", "large"];

test("the smallest model answers first", () => {
  assert.equal(firstModel(MODELS), "small");
  assert.equal(firstModel([]), undefined);
});

test("a weak answer goes straight to the largest model", () => {
  for (const confidence of [0, MIN_CONFIDENCE - 1]) {
    const query = { models: MODELS, model: "small", confidence };
    assert.equal(nextModel(query), "large");
  }
});

test("a good answer stays, and so does one that says nothing of itself", () => {
  for (const confidence of [MIN_CONFIDENCE, 100, undefined]) {
    const query = { models: MODELS, model: "small", confidence };
    assert.equal(nextModel(query), undefined);
  }
});

test("above the largest model and beside the ladder there is none", () => {
  for (const model of ["large", "unknown"]) {
    assert.equal(
      nextModel({ models: MODELS, model, confidence: 0 }),
      undefined,
    );
  }
});
