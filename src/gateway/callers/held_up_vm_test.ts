/**
 * Tests of a VM whose event loop is held up, as on a busy or paused machine:
 * timers then come before what has arrived meanwhile is read.
 */
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { test } from "node:test";
import {
  answerLate,
  connectCaller,
  headOf,
  LIMITS,
  openCount,
  requestOf,
  setUp,
  statusesIn,
  writeAndHoldUp,
} from "./caller_connection_fixture.ts";
import {
  type BackendHandler,
  sendCompleteAnswer,
} from "../servers/backend_fixture.ts";
import { holdUpAfter } from "../hold_up_fixture.ts";
import { until } from "../until_fixture.ts";

/** Shorter than the time for which the VM is held up. */
const IDLE_MS = 400;
/** The grace period of the VM, but for the end of its stop. */
const GRACE_MS = 2500;
/** Longer than answers that need no memory of their own. */
const LONG_BYTES = 200_000;
const SHORT_LIMITS = { ...LIMITS, idleTimeoutMs: IDLE_MS };

// Guards against a connection closed as idle although its next request is there.
test("a request that came while the VM was held up is answered: kept connection", async (context) => {
  const site = await setUp(context, sendCompleteAnswer, {
    limits: SHORT_LIMITS,
  });
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a"));
  await until(() => caller.text.endsWith("whole"));
  await writeAndHoldUp(caller, requestOf("b"));
  await until(() => caller.isClosed || statusesIn(caller).length === 2);
  assert.deepEqual(statusesIn(caller), ["200", "200"]);
});

// Guards against 408 for a body that is there.
test("a request that came while the VM was held up is answered: rest of a body", async (context) => {
  const site = await setUp(context, sendCompleteAnswer, {
    limits: SHORT_LIMITS,
  });
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a").slice(0, -2));
  await until(() => openCount(site) === 1);
  await writeAndHoldUp(caller, "45");
  await until(() => statusesIn(caller).length === 1);
  assert.deepEqual(statusesIn(caller), ["200"]);
});

// Guards against 408 for a head that is there.
test("a request that came while the VM was held up is answered: rest of a head", async (context) => {
  const site = await setUp(context, sendCompleteAnswer);
  const caller = connectCaller(site);
  const text = requestOf("a");
  caller.socket.write(text.slice(0, 20));
  await delay(LIMITS.headerTimeoutMs / 3);
  await writeAndHoldUp(caller, text.slice(20));
  await until(() => caller.isClosed || statusesIn(caller).length === 1);
  assert.deepEqual(statusesIn(caller), ["200"]);
});

test("a request that came while the VM was held up is answered: another one open", async (context) => {
  const site = await setUp(context, answerLate, { limits: SHORT_LIMITS });
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a"));
  await until(() => site.backend.requestIds.length === 1);
  await writeAndHoldUp(caller, requestOf("b"));
  await until(() => caller.isClosed || statusesIn(caller).length === 2);
  assert.deepEqual(statusesIn(caller), ["200", "200"]);
});

// Guards against LOST: the time limit of a caller that reads nothing of a long
// answer closed the connection under its next request.
test("a request behind a long answer is answered after the limit for idle callers", async (context) => {
  const answer: BackendHandler = (request, response) => {
    const isFirst = request.headers["test-id"] === "a";
    const body = isFirst ? "x".repeat(LONG_BYTES) : "whole";
    setTimeout(
      () => sendCompleteAnswer(request, response, body),
      isFirst ? 0 : 3 * IDLE_MS,
    );
  };
  const site = await setUp(context, answer, { limits: SHORT_LIMITS });
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a") + requestOf("b"));
  await until(() => caller.isClosed || statusesIn(caller).length === 2);
  assert.deepEqual(statusesIn(caller), ["200", "200"]);
});

// Guards against a request that a stopping VM closes before it looks at it.
test("a request that came while a stopping VM was held up is answered", async (context) => {
  const site = await setUp(context, sendCompleteAnswer);
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a"));
  await until(() => caller.text.endsWith("whole"));
  const stopped = site.gateway.gateway.stop();
  await holdUpAfter(() => caller.socket.write(requestOf("b")), GRACE_MS);
  await stopped;
  await until(() => caller.isClosed);
  assert.deepEqual(statusesIn(caller), ["200", "503"]);
});

// Guards against timeouts that no longer come.
test("limits for callers hold after a VM was held up", async (context) => {
  const site = await setUp(context, sendCompleteAnswer, {
    limits: SHORT_LIMITS,
  });
  const callers = ["", requestOf("a"), headOf("b", 5), "POST "].map((text) => {
    const caller = connectCaller(site);
    caller.socket.write(text);
    return caller;
  });
  await until(() => callers.some((caller) => statusesIn(caller)[0] === "200"));
  await writeAndHoldUp(connectCaller(site), "");
  await until(() => callers.every(({ isClosed }) => isClosed));
  const statuses = callers.map((caller) => statusesIn(caller).join(" "));
  assert.deepEqual(statuses, ["408", "200", "408", "408"]);
});
