/** Tests of the log service stand-in. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { createLog, type LogOptions, type LogStandin } from "./log.ts";

interface RunningLog {
  readonly log: LogStandin;
  readonly url: string;
}

async function startLog(
  context: TestContext,
  options: LogOptions = {},
): Promise<RunningLog> {
  const log = createLog(options);
  const address = await log.listen();
  context.after(() => log.close());
  return { log, url: `http://${address}/streams/control/records` };
}

function append(url: string, payload: string): Promise<Response> {
  return fetch(url, { method: "POST", body: JSON.stringify({ payload }) });
}

async function read(url: string, query: string): Promise<unknown> {
  const response = await fetch(`${url}?${query}`);
  return await response.json();
}

test("a long poll returns as soon as a record is appended", async (context) => {
  const { url } = await startLog(context);
  const waiting = read(url, "from=0&waitMs=20000");
  const appended = await append(url, "one");
  assert.deepEqual(await appended.json(), { offset: 0 });
  assert.deepEqual(await waiting, {
    first: 0,
    next: 1,
    records: [{ offset: 0, payload: "one" }],
  });
});

test("an append takes effect although its reply is lost", async (context) => {
  const { log, url } = await startLog(context);
  log.switches.lostReplyCount = 1;
  await assert.rejects(append(url, "one"));
  assert.equal(log.records("control").length, 1);
  assert.equal(log.recorded.appends[0]?.isReplyLost, true);
  assert.equal((await append(url, "two")).status, 200);
});

test("retention advances the first offset", async (context) => {
  const { url } = await startLog(context, { retentionCount: 2 });
  for (const text of ["one", "two", "three"]) await append(url, text);
  assert.deepEqual(await read(url, "from=0"), {
    first: 1,
    next: 3,
    records: [
      { offset: 1, payload: "two" },
      { offset: 2, payload: "three" },
    ],
  });
});

test("an append refused by outage or rate has no effect", async (context) => {
  const { log, url } = await startLog(context, { appendsPerSecond: 1 });
  log.switches.isDown = true;
  assert.equal((await append(url, "one")).status, 503);
  log.switches.isDown = false;
  assert.equal((await append(url, "two")).status, 200);
  assert.equal((await append(url, "three")).status, 429);
  assert.equal(log.recorded.appends.length, 1);
});
