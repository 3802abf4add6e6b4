/**
 * Tests of resumable streams whose servers end them by closing their connection
 * between two events.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { eventsOf } from "../servers/backend_fixture.ts";
import { sendUnmarked, startUnmarked } from "./unmarked_end_fixture.ts";

const WHOLE = { status: 200, body: eventsOf(1, 6), isComplete: true };
const CUT = { status: 200, body: eventsOf(1, 3), isComplete: false };
const NO_RETRIES = { ratio: 0, slackCount: 0, windowMs: 10_000 };
/** A server that breaks off later has not ended under its prompt. */
const LONGER_THAN_CRASHES_MS = 600;

// Guards against ORDER: a server closed its connection between two events, and
// its part of a stream was given to the caller as the whole.
test("a resumable stream that closes between two events goes on elsewhere", async (context) => {
  const result = await sendUnmarked(context, {
    runs: [{ lastId: 3, end: "closed" }],
  });
  assert.deepEqual(result, { ...WHOLE, runs: [undefined, "3", "6"] });
});

// Guards against ORDER: the same, as the server's process ended.
test("a resumable stream whose server ends between two events goes on elsewhere", async (context) => {
  const result = await sendUnmarked(context, {
    runs: [{ lastId: 3, end: "gone" }],
  });
  assert.deepEqual(result, { ...WHOLE, runs: [undefined, "3", "6"] });
});

// Guards against ORDER: a stream was reset, and a server that closed before it
// gave an event of the rest counted as its end.
// Guards against LOST: an answer without an event counted as a server's crash
// under the request, and two of these end its repeats.
for (const end of ["closed", "gone"] as const) {
  test(`a stream that was reset is not complete by a first empty answer: ${end}`, async (context) => {
    const endDelayMs = end === "gone" ? LONGER_THAN_CRASHES_MS : 20;
    const result = await sendUnmarked(context, {
      runs: [
        { lastId: 3, end: "reset", endDelayMs },
        { lastId: 3, end },
      ],
      route: { maxAttempts: 4 },
      serverCount: 3,
    });
    assert.deepEqual(result, { ...WHOLE, runs: [undefined, "3", "3", "6"] });
  });
}

// Guards against ORDER: two ends at one event that another break separates.
test("closes at one event with a reset between them don't confirm each other", async (context) => {
  const result = await sendUnmarked(context, {
    runs: [
      { lastId: 3, end: "closed" },
      { lastId: 3, end: "reset" },
      { lastId: 3, end: "closed" },
    ],
  });
  assert.deepEqual(result, { ...CUT, runs: [undefined, "3", "3"] });
});

// Guards against ORDER and LOST: a complete stream ran more or less often than
// it takes to confirm its end.
test("two runs that close after the same event complete a stream", async (context) => {
  const result = await sendUnmarked(context, { runs: [] });
  assert.deepEqual(result, { ...WHOLE, runs: [undefined, "6"] });
});

test("the only server confirms the end of its stream itself", async (context) => {
  const result = await sendUnmarked(context, { runs: [], serverCount: 1 });
  assert.deepEqual(result, { ...WHOLE, runs: [undefined, "6"] });
});

test("a marked end without further events confirms an unmarked one", async (context) => {
  const result = await sendUnmarked(context, {
    runs: [{ lastId: 6, end: "closed" }, { lastId: 6, end: "marked" }],
  });
  assert.deepEqual(result, { ...WHOLE, runs: [undefined, "6"] });
});

test("a marked end needs no second run", async (context) => {
  const result = await sendUnmarked(context, {
    runs: [{ lastId: 6, end: "marked" }],
  });
  assert.deepEqual(result, { ...WHOLE, runs: [undefined] });
});

// Guards against ORDER: an end that can't be confirmed was believed.
test("a stream that closes between two events is cut without retries left", async (context) => {
  const result = await sendUnmarked(context, {
    runs: [{ lastId: 3, end: "closed" }],
    settings: { retryBound: NO_RETRIES },
  });
  assert.deepEqual(result, { ...CUT, runs: [undefined] });
});

// Guards against ORDER: the same of a route that allows one run.
test("a stream that closes between two events is cut after its only attempt", async (context) => {
  const result = await sendUnmarked(context, {
    runs: [{ lastId: 3, end: "closed" }],
    route: { maxAttempts: 1 },
  });
  assert.deepEqual(result, { ...CUT, runs: [undefined] });
});

// Guards against LOST: a caller that resumes after each cut never finished.
const LIMITS = {
  "a stream of a route that allows one attempt": { route: { maxAttempts: 1 } },
  "a stream without retries left": { settings: { retryBound: NO_RETRIES } },
};
for (const [name, limits] of Object.entries(LIMITS)) {
  test(`a caller can finish ${name}`, async (context) => {
    const { send, runsOf } = await startUnmarked(context, {
      ...limits,
      runOf: (requestId) => ({
        lastId: requestId === "one" ? 3 : 6,
        end: "closed",
      }),
    });
    const answers = [];
    let lastId = 0;
    for (const requestId of ["one", "two", "three"]) {
      const headers: Record<string, string> = { "test-id": requestId };
      if (lastId > 0) headers["test-last"] = String(lastId);
      const { status, body, isComplete } = await send({ headers });
      answers.push({ status, body, isComplete });
      lastId = requestId === "one" ? 3 : 6;
      assert.equal(runsOf(requestId).length, 1);
    }
    assert.deepEqual(answers, [
      CUT,
      { status: 200, body: eventsOf(4, 6), isComplete: false },
      { status: 200, body: "", isComplete: true },
    ]);
  });
}

test("an empty end at the caller's own last event is confirmed where runs are left", async (context) => {
  const result = await sendUnmarked(context, { runs: [], lastEventId: 6 });
  const { status, body, isComplete, runs } = result;
  assert.deepEqual([status, body, isComplete], [200, "", true]);
  assert.deepEqual(runs, ["6", "6"]);
});

// Guards against ORDER: a server broke an answer off before its first event, and a
// caller that had resumed after the end of a VM took the stream for whole.
for (const [name, limits] of Object.entries(LIMITS)) {
  test(`a resumed stream without an event has failed where servers mark ends: ${name}`, async (context) => {
    const { send, runsOf } = await startUnmarked(context, {
      ...limits,
      runOf: (requestId) =>
        requestId === "other"
          ? { lastId: 6, end: "marked" }
          : { lastId: 3, end: "closed" },
    });
    for (let count = 0; count < 4; count++) {
      await send({ headers: { "test-id": "other" } });
    }
    const headers = { "test-id": "one", "test-last": "3" };
    const { status } = await send({ headers });
    assert.equal(status, 502);
    assert.equal(runsOf("one").length, 1);
  });
}

test("a server that has just started completes no stream by a close alone", async (context) => {
  const { status } = await sendUnmarked(context, {
    runs: [{ lastId: 3, end: "closed" }],
    route: { maxAttempts: 1 },
    lastEventId: 3,
  });
  assert.equal(status, 502);
});
