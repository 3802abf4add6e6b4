/** Tests of whose bodies are read while the memory for bodies is short. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { sendCompleteAnswer } from "../servers/backend_fixture.ts";
import { until } from "../until_fixture.ts";
import {
  connectCaller,
  headOf,
  LIMITS,
  setUp,
  statusesIn,
  type TestCaller,
  type TestSite,
} from "./caller_connection_fixture.ts";

const BODY_BYTES = 990_000;
/** A fifth of it is for bodies of which six fit in. */
const MEMORY_BYTES = 80 * 1024 * 1024;
const FITTING_COUNT = 6;
const IDLE_MS = 400;
const PAUSE_MS = 100;

function startSite(context: TestContext): Promise<TestSite> {
  const limits = { ...LIMITS, idleTimeoutMs: IDLE_MS };
  return setUp(context, sendCompleteAnswer, {
    memoryBytes: MEMORY_BYTES,
    limits,
  });
}

function chunkOf(bytes: number): string {
  return `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
}

/** Begins a body without a length and goes on with a byte now and then. */
function beginBody(
  context: TestContext,
  { site, id }: { readonly site: TestSite; readonly id: string },
): TestCaller {
  const caller = connectCaller(site);
  const head = headOf(id, 0)
    .replace("Content-Length: 0", "Transfer-Encoding: chunked");
  caller.socket.write(head + chunkOf(BODY_BYTES));
  const timer = setInterval(() => caller.socket.write(chunkOf(1)), PAUSE_MS);
  context.after(() => {
    clearInterval(timer);
    caller.socket.destroy();
  });
  return caller;
}

async function beginBodies(
  context: TestContext,
  site: TestSite,
): Promise<TestCaller[]> {
  const callers: TestCaller[] = [];
  for (let index = 0; index < FITTING_COUNT; index++) {
    callers.push(beginBody(context, { site, id: `slow-${index}` }));
    await delay(IDLE_MS / FITTING_COUNT / 4);
  }
  return callers;
}

// Guards against bodies that are read almost to their end and then refused, each
// for the next one.
test("the body that began last is refused while memory is short", async (context) => {
  const site = await startSite(context);
  const callers = await beginBodies(context, site);
  const last = beginBody(context, { site, id: "last" });
  await until(() => statusesIn(last).length > 0);
  assert.deepEqual(statusesIn(last), ["503"]);
  assert.deepEqual(callers.flatMap(statusesIn), []);
});

// Guards against callers that send a byte now and then and so keep the memory.
test("a body that takes too long is refused while memory is short", async (context) => {
  const site = await startSite(context);
  const [first, ...others] = await beginBodies(context, site);
  assert.ok(first !== undefined);
  await delay(2 * IDLE_MS);
  const ordinary = connectCaller(site);
  ordinary.socket.write(headOf("ordinary", BODY_BYTES));
  ordinary.socket.write("x".repeat(BODY_BYTES));
  await until(() => statusesIn(ordinary).length > 0);
  assert.deepEqual(statusesIn(ordinary), ["200"]);
  assert.deepEqual(statusesIn(first), ["408"]);
  assert.deepEqual(others.flatMap(statusesIn), []);
  ordinary.socket.destroy();
});
