/** Tests of the HTTP interface described in docs/API.md. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Hono } from "hono";
import { silentLogger } from "../model/mod.ts";
import {
  type Entry,
  Fixture,
  type Frames,
  framesOf,
  silentUntil,
  WORKSPACE,
} from "./fixture_test.ts";
import { createHttpApp } from "./http_app.ts";
import { type Problem } from "./problem.ts";

interface TestApp {
  readonly fixture: Fixture;
  readonly entry: Entry;
  readonly app: Hono;
}

function createTestApp(): TestApp {
  const fixture = new Fixture();
  const entry = fixture.entry();
  const app = createHttpApp({
    handler: entry.handler,
    listEntries: () => ({ entries: [], maxAgeMs: 15_000 }),
    isReady: () => true,
    adminRoutes: [{
      method: "GET",
      path: "/status",
      handle: () => Promise.resolve({ vm: "vm-1" }),
    }],
    isOperator: (bearer) => bearer === "operator",
    logger: silentLogger,
  });
  return { fixture, entry, app };
}

const MESSAGES = [{ role: "user", content: "hello" }];

async function postChat(
  app: Hono,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<Response> {
  return await app.request("/v1/chat/completions", {
    method: "POST",
    headers: { "goldcrest-workspace": WORKSPACE, ...headers },
    body: typeof body === "string" ? body : JSON.stringify(body),
  });
}

test("a streamed answer has an id for each frame and ends with DONE", async () => {
  const { app } = createTestApp();
  const response = await postChat(app, { messages: MESSAGES, stream: true }, {
    "goldcrest-session": "s-1",
    "goldcrest-request-id": "r-http",
  });
  assert.equal(response.status, 200);
  assert.ok(response.headers.get("goldcrest-session-token"));
  assert.equal(response.headers.get("goldcrest-request-id"), "r-http");
  const events = (await response.text()).trim().split("\n\n");
  const ids = events.map((event) => /^id: (\d+)/.exec(event)?.[1]);
  assert.deepEqual(ids, ["0", "1", "2", undefined]);
  assert.equal(events.at(-1), "data: [DONE]");
  assert.match(events[0] ?? "", /"model":"tagger@1"/);
});

test("an unstreamed answer is one completion object", async () => {
  const { app } = createTestApp();
  const response = await postChat(app, { messages: MESSAGES, temperature: 1 });
  const body = await response.json() as {
    choices: { message: { content: string } }[];
    usage: { total_tokens: number };
  };
  assert.equal(body.choices[0]?.message.content, "abc");
  assert.equal(body.usage.total_tokens, 13);
});

test("an incomplete stream ends with an error event, not DONE", async () => {
  const { app, fixture } = createTestApp();
  fixture.engines.script = async function* (call): Frames {
    for await (const frame of framesOf(call, ["a", "b", "c"])) {
      if (frame.isOk() && frame.value.isLast) return;
      yield frame;
    }
  };
  const response = await postChat(app, { messages: MESSAGES, stream: true });
  const text = await response.text();
  assert.match(text, /event: error\ndata: \{.*"outcome":"failed"/);
  assert.doesNotMatch(text, /DONE/);
});

const INVALID_REQUESTS: readonly [string, unknown, Record<string, string>][] = [
  ["goldcrest-workspace", { messages: MESSAGES }, {
    "goldcrest-workspace": "no path",
  }],
  ["goldcrest-deadline-ms", { messages: MESSAGES }, {
    "goldcrest-deadline-ms": "-1",
  }],
  ["goldcrest-class", { messages: MESSAGES }, { "goldcrest-class": "urgent" }],
  ["idempotency-key", { messages: MESSAGES }, { "idempotency-key": "a b" }],
  ["messages", {}, {}],
  ["messages.0.role", { messages: [{ role: "x", content: "" }] }, {}],
  ["max_tokens", { messages: MESSAGES, max_tokens: 0 }, {}],
  ["max_tokens", { messages: MESSAGES, max_tokens: 1e9 }, {}],
  ["messages", { messages: Array(1000).fill(MESSAGES[0]) }, {}],
  ["body", "{", {}],
  ["body", "null", {}],
];

for (const [field, body, headers] of INVALID_REQUESTS) {
  test(`an invalid ${field} is answered with 400 and named`, async () => {
    const { app, fixture } = createTestApp();
    const response = await postChat(app, body, headers);
    const problem = await response.json() as Problem;
    assert.equal(response.status, 400);
    assert.equal(problem.outcome, "not_run");
    assert.ok(problem.detail.startsWith(`${field}:`), problem.detail);
    assert.equal(fixture.engines.calls.length, 0);
  });
}

test("an oversize body is answered with 413", async () => {
  const { app } = createTestApp();
  const content = "x".repeat(2_000_000);
  const response = await postChat(app, {
    messages: [{ role: "user", content }],
  });
  assert.equal(response.status, 413);
});

test("a refusal has a Retry-After header", async () => {
  const { app, entry } = createTestApp();
  entry.handler.stopAccepting();
  const response = await postChat(app, { messages: MESSAGES });
  assert.equal(response.status, 503);
  assert.equal(response.headers.get("retry-after"), "1");
  assert.equal(
    response.headers.get("content-type"),
    "application/problem+json",
  );
});

test("an answer is resumed at an index", async () => {
  const { app } = createTestApp();
  await postChat(app, { messages: MESSAGES }, {
    "goldcrest-request-id": "r-kept",
  });
  const response = await app.request("/v1/answers/r-kept?from=1", {
    headers: { "goldcrest-workspace": WORKSPACE },
  });
  const text = await response.text();
  assert.deepEqual(text.match(/^id: \d+/gm), ["id: 1", "id: 2"]);
  assert.match(text, /data: \[DONE\]\n\n$/);
});

test("an answer is not shown to another workspace", async () => {
  const { app } = createTestApp();
  await postChat(app, { messages: MESSAGES }, {
    "goldcrest-request-id": "r-own",
  });
  const response = await app.request("/v1/answers/r-own", {
    headers: { "goldcrest-workspace": "/khomas/other" },
  });
  assert.equal(response.status, 404);
});

test("cancelling a stream cancels the engine's request", async () => {
  const { app, fixture } = createTestApp();
  let stopped = (): void => {};
  const isStopped = new Promise<void>((resolve) => stopped = resolve);
  fixture.engines.script = async function* (call, signal): Frames {
    for await (const frame of framesOf(call, ["a", "b"])) {
      yield frame;
      signal.addEventListener("abort", () => stopped());
      yield* silentUntil(signal);
    }
  };
  const response = await postChat(app, { messages: MESSAGES, stream: true });
  await response.body?.cancel();
  await isStopped;
});

test("a call that is not safe requires an idempotency key", async () => {
  const { app, fixture } = createTestApp();
  const init = {
    method: "POST",
    headers: { "goldcrest-workspace": WORKSPACE },
    body: "claim",
  };
  const path = "/v1/services/records/claims?year=3";
  const refused = await app.request(path, init);
  assert.equal(refused.status, 400);
  assert.match((await refused.json() as Problem).detail, /^idempotency-key/);
  const headers = { ...init.headers, "idempotency-key": "k-1" };
  const answered = await app.request(path, { ...init, headers });
  assert.equal(await answered.text(), "registered");
  assert.equal(fixture.services.calls.length, 1);
});

test("admin routes require the operator token", async () => {
  const { app } = createTestApp();
  const path = "/v1/admin/status";
  assert.equal((await app.request(path)).status, 401);
  const headers = { authorization: "Bearer operator" };
  const answered = await app.request(path, { headers });
  assert.deepEqual(await answered.json(), { vm: "vm-1" });
  assert.equal((await app.request("/nothing")).status, 404);
});
