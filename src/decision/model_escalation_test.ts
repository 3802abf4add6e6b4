/** Tests of the model cascade: the first model and the escalation. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { firstModel, MIN_CONFIDENCE, nextModel } from "./model_escalation.ts";

const MODELS = ["small", "middle", "large"];

test("the smallest model answers first", () => {
  assert.equal(firstModel(MODELS), "small");
  assert.equal(firstModel([]), undefined);
});

test("an answer of low confidence escalates straight to the largest model", () => {
  for (const confidence of [0, MIN_CONFIDENCE - 1]) {
    const query = {
      models: MODELS,
      model: "small",
      confidence,
      pressureShare: 0,
    };
    assert.equal(nextModel(query), "large");
  }
});

test("an answer of high or unreported confidence does not escalate", () => {
  for (const confidence of [MIN_CONFIDENCE, 100, undefined]) {
    const query = {
      models: MODELS,
      model: "small",
      confidence,
      pressureShare: 0,
    };
    assert.equal(nextModel(query), undefined);
  }
});

test("the largest model and an unlisted model do not escalate", () => {
  for (const model of ["large", "unknown"]) {
    const query = { models: MODELS, model, confidence: 0, pressureShare: 0 };
    assert.equal(nextModel(query), undefined);
  }
});

test("under load only the least confident answers escalate", () => {
  const query = { models: MODELS, model: "small", pressureShare: 0.6 };
  assert.equal(nextModel({ ...query, confidence: 40 }), undefined);
  assert.equal(nextModel({ ...query, confidence: 10 }), "large");
});

test("under full load no answer escalates", () => {
  const query = { models: MODELS, model: "small", pressureShare: 1 };
  assert.equal(nextModel({ ...query, confidence: 0 }), undefined);
});
