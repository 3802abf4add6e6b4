/** Tests of the pace of answers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { routeOf } from "../decision/manifest_fixture.ts";
import { AnswerTiming } from "./answer_timing.ts";

const ROUTE = routeOf({ targetMs: 1000, gapTargetMs: 500 });

function paceOf(partsAtMs: readonly number[]): AnswerTiming {
  const pace = new AnswerTiming({ receivedAtMs: 100 });
  for (const atMs of partsAtMs) pace.recordPart(atMs);
  return pace;
}

test("an answer's pace is its first part and its longest pause", () => {
  const pace = paceOf([300, 400, 650, 700]);
  assert.equal(pace.firstByteMs, 200);
  assert.equal(pace.longestPauseMs, 250);
  assert.equal(pace.isLate(ROUTE), false);
});

test("an answer that begins late or pauses long is late", () => {
  assert.equal(paceOf([1101]).isLate(ROUTE), true);
  assert.equal(paceOf([200, 701]).isLate(ROUTE), true);
  const whole = { ...ROUTE, gapTargetMs: undefined };
  assert.equal(paceOf([200, 701]).isLate(whole), false);
});
