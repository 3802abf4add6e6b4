/** Tests of the model engine stand-in. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { answerText } from "./answer_text.ts";
import { createEngine, type EngineStandin } from "./engine.ts";
import { type EngineOptions } from "./engine_options.ts";
import { type WrittenFrame } from "./engine_stream.ts";

const VERSION = "drafter@1";
const MAX_TOKENS = 12;

interface RunningEngine {
  readonly engine: EngineStandin;
  readonly url: string;
}

async function startEngine(
  context: TestContext,
  options: Partial<EngineOptions> = {},
): Promise<RunningEngine> {
  const engine = createEngine({
    server: "e1",
    versions: [VERSION],
    tokenMs: 1,
    ...options,
  });
  const address = await engine.listen();
  context.after(() => engine.close());
  return { engine, url: `http://${address}/v1` };
}

function generate(url: string, fields: object = {}): Promise<Response> {
  const body = {
    requestId: "r1",
    attempt: 1,
    version: VERSION,
    messages: [{ role: "user", content: "Who kept the archive?" }],
    maxTokens: MAX_TOKENS,
    ...fields,
  };
  const text = JSON.stringify(body);
  return fetch(`${url}/generate`, { method: "POST", body: text });
}

async function framesOf(response: Response): Promise<WrittenFrame[]> {
  const text = await response.text();
  return text.split("\n\n").filter((part) => part !== "")
    .map((part) => JSON.parse(part.slice("data: ".length)) as WrittenFrame);
}

function textOf(frames: readonly WrittenFrame[]): string {
  return frames.map((frame) => frame.text).join("");
}

const KEY = { requestId: "r1", version: VERSION, maxTokens: MAX_TOKENS };

test("another engine continues an answer at an index", async (context) => {
  const first = await startEngine(context);
  const second = await startEngine(context, { server: "e2" });
  const complete = await framesOf(await generate(first.url));
  assert.equal(textOf(complete), answerText(KEY));
  const prefix = answerText(KEY, { to: 3 });
  const continuation = await framesOf(
    await generate(second.url, { fromIndex: 3, prefix, attempt: 2 }),
  );
  assert.deepEqual(
    continuation.map((frame) => frame.text),
    complete.slice(3).map((frame) => frame.text),
  );
  assert.equal(second.engine.recorded.attempts[0]?.isPrefixRight, true);
  assert.equal(continuation.at(-1)?.usage?.outputTokens, continuation.length);
});

test("a crossed frame is sent with another request's id", async (context) => {
  const { engine, url } = await startEngine(context);
  engine.switches.streamFault = { kind: "crossed", afterTokens: 2, count: 1 };
  const frames = await framesOf(await generate(url));
  const own = frames.filter((frame) => frame.requestId === "r1");
  assert.equal(frames.length - own.length, 1);
  assert.equal(own.some((frame) => frame.index === 2), false);
});

test("an answer that ends early has no last frame", async (context) => {
  const { engine, url } = await startEngine(context);
  engine.switches.streamFault = {
    kind: "ended_early",
    afterTokens: 2,
    count: 1,
  };
  const frames = await framesOf(await generate(url));
  assert.equal(frames.length, 2);
  assert.equal(engine.recorded.attempts[0]?.outcome, "cut");
});

test("an engine refuses when full, leaving or not loaded", async (context) => {
  const { engine, url } = await startEngine(context, {
    slotCount: 1,
    queueLimit: 0,
    tokenMs: 50,
  });
  const running = await generate(url);
  assert.equal((await generate(url, { requestId: "r2" })).status, 503);
  assert.equal((await generate(url, { version: "other@1" })).status, 404);
  engine.switches.isLeaving = true;
  assert.equal((await generate(url, { requestId: "r3" })).status, 410);
  await fetch(`${url}/requests/r1`, { method: "DELETE" });
  await assert.rejects(running.text());
});

test("an outdated fence is refused only if checked", async (context) => {
  for (const checksFence of [true, false]) {
    const { engine, url } = await startEngine(context, { checksFence });
    const send = async (fence: number): Promise<number> => {
      const order = { orderId: `o${fence}`, fence, kind: "unload" };
      const body = JSON.stringify({ ...order, version: VERSION });
      const sent = await fetch(`${url}/orders`, { method: "POST", body });
      return sent.status;
    };
    assert.equal(await send(7), 200);
    assert.equal(await send(5), checksFence ? 409 : 200);
    assert.equal(engine.recorded.orders[1]?.isStale, true);
  }
});
