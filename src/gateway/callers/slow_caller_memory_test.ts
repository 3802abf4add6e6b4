/** Tests of long answers to callers that read slowly. */
import assert from "node:assert/strict";
import { type IncomingMessage, request } from "node:http";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { manifestOf } from "../../decision/manifest_fixture.ts";
import {
  API_HOST,
  call,
  LOOKUP_ROUTE,
  REGISTER_ROUTE,
  startGateway,
  untilReady,
} from "../gateway_fixture.ts";
import {
  type BackendHandler,
  sendCompleteAnswer,
  startBackend,
  type TestBackend,
} from "../servers/backend_fixture.ts";
import { watchMemory } from "../memory_watch_fixture.ts";
import { until } from "../until_fixture.ts";

const MIB = 1024 * 1024;
const MEMORY_BYTES = 200 * MIB;
/** Longer than what sockets take for a caller that doesn't read. */
const ANSWER_BYTES = 7 * MIB;
/** Their answers together are well beyond the memory for answers. */
const CALLER_COUNT = 20;
const READ_AFTER_MS = 200;
const BREAK_AFTER_MS = 1000;
const IDLE_MS = 3000;
/** As many as the memory has room for. */
const UNREAD_COUNT = 6;
const TIMEOUT_MS = 60_000;
const SHORT_TIMEOUT_MS = 4000;
const ANSWER = Buffer.alloc(ANSWER_BYTES, "x");

interface Site {
  readonly address: string;
  readonly backend: TestBackend;
}

async function startSite(
  context: TestContext,
  { isFramed = true, timeoutMs = TIMEOUT_MS, idleMs = TIMEOUT_MS }: {
    readonly isFramed?: boolean;
    readonly timeoutMs?: number;
    readonly idleMs?: number;
  },
): Promise<Site> {
  const answer: BackendHandler = (request, response) => {
    if (request.url?.startsWith("/lookups/")) {
      return sendCompleteAnswer(request, response);
    }
    response.writeHead(200, {
      "test-id": String(request.headers["test-id"]),
      "test-signature": "signed",
      ...isFramed ? { "content-length": String(ANSWER_BYTES) } : {},
    });
    if (request.headers["test-id"] !== "broken") return response.end(ANSWER);
    response.write(ANSWER.subarray(0, ANSWER_BYTES / 2));
    // When the VM has the heads of all: those that are held keep the memory.
    void until(() => backend.requestIds.length === CALLER_COUNT)
      .then(() => delay(BREAK_AFTER_MS))
      .then(() => response.destroy());
  };
  const backend = await startBackend("server", answer);
  const vm = await startGateway({
    backends: [backend],
    manifest: {
      routes: [{ ...REGISTER_ROUTE, timeoutMs }, LOOKUP_ROUTE],
      limits: { ...manifestOf().limits, idleTimeoutMs: idleMs },
    },
    settings: { memoryBytes: MEMORY_BYTES },
  });
  context.after(async () => {
    await vm.gateway.stop();
    await backend.close();
  });
  await untilReady(vm);
  return { address: vm.callerAddress, backend };
}

/** Sends a request; resolves with its answer's head. */
function send({ address }: Site, id: string): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const sent = request(`http://${address}/registrations/a`, {
      method: "POST",
      agent: false,
      headers: { host: API_HOST, "test-id": id, "test-key": "a-key" },
    });
    sent.on("response", resolve);
    sent.on("error", reject);
    sent.end();
  });
}

/** Sends a request again while it is refused. */
async function sendUntilTaken(
  site: Site,
  id: string,
): Promise<IncomingMessage> {
  for (;;) {
    const response = await send(site, id);
    if (response.statusCode !== 503) return response;
    response.resume();
    await delay(READ_AFTER_MS);
  }
}

/** Reads an answer; returns its status and its length in bytes. */
async function read(
  response: IncomingMessage,
): Promise<readonly [number | undefined, number]> {
  let bytes = 0;
  response.on("data", ({ length }: Buffer) => bytes += length);
  response.on("error", () => {});
  await new Promise((resolve) => response.once("close", resolve));
  return [response.statusCode, bytes];
}

for (const isFramed of [true, false]) {
  const framing = isFramed ? "a length" : "chunks";
  // Guards against answers that fill the memory, or are lost after they ran, as
  // their callers read slowly.
  test(`long answers to slow callers are whole within the memory: ${framing}`, async (context) => {
    const site = await startSite(context, { isFramed });
    const memory = watchMemory(context);
    const answers = await Promise.all(
      Array.from({ length: CALLER_COUNT }, async (_, index) => {
        const response = await sendUntilTaken(site, `r-${index}`);
        await delay(READ_AFTER_MS);
        return await read(response);
      }),
    );
    for (const answer of answers) assert.deepEqual(answer, [200, ANSWER_BYTES]);
    assert.equal(site.backend.requestIds.length, CALLER_COUNT);
    const grownBytes = memory.grownBytes();
    context.diagnostic(`grown by ${Math.round(grownBytes / MIB)} MiB`);
    assert.ok(grownBytes < MEMORY_BYTES / 2, `${grownBytes / MIB} MiB`);
  });
}

// Guards against requests that run although no memory is left for their answers.
test("requests whose answers have no room are refused unrun, and no others", async (context) => {
  const site = await startSite(context, {});
  const heads: IncomingMessage[] = [];
  let refusedCount = 0;
  const sending = Array.from({ length: CALLER_COUNT }, async (_, index) => {
    const response = await send(site, `r-${index}`);
    if (response.statusCode !== 503) return void heads.push(response);
    response.resume();
    refusedCount += 1;
  });
  const runCount = (): number => site.backend.requestIds.length;
  await until(() => runCount() + refusedCount === CALLER_COUNT);
  await until(() => heads.length > 0);
  await delay(READ_AFTER_MS);
  const refused = await call(site.address, {
    path: "/registrations/b",
    headers: { "test-id": "refused" },
  });
  assert.equal(refused.status, 503);
  assert.ok(Number(refused.headers["retry-after"]) > 0);
  assert.ok(!site.backend.requestIds.includes("refused"));
  const served = await call(site.address, { path: "/lookups/a" });
  assert.deepEqual([served.status, served.body], [200, "whole"]);
  let readCount = 0;
  while (readCount < CALLER_COUNT - refusedCount) {
    await until(() => heads.length > readCount);
    const response = heads[readCount++];
    assert.ok(response !== undefined);
    assert.deepEqual(await read(response), [200, ANSWER_BYTES]);
  }
  await Promise.all(sending);
  const after = await send(site, "after");
  assert.deepEqual(await read(after), [200, ANSWER_BYTES]);
});

// Guards against LOST: requests that ran end as 504, as the answers of others
// that are read slowly take all memory until their time is up.
test("answers are whole though others are read later than their time is up", async (context) => {
  const site = await startSite(context, { timeoutMs: SHORT_TIMEOUT_MS });
  const answers = await Promise.all(
    Array.from({ length: CALLER_COUNT }, async (_, index) => {
      const response = await sendUntilTaken(site, `r-${index}`);
      await delay(SHORT_TIMEOUT_MS + READ_AFTER_MS);
      return await read(response);
    }),
  );
  for (const answer of answers) assert.deepEqual(answer, [200, ANSWER_BYTES]);
  assert.equal(site.backend.requestIds.length, CALLER_COUNT);
});

// Guards against a part that looks whole, where an answer is passed on as it
// comes and its server breaks off.
test("an answer that breaks off is not whole, with or without memory", async (context) => {
  const site = await startSite(context, {});
  const responses = await Promise.all(
    Array.from({ length: CALLER_COUNT }, () => send(site, "broken")),
  );
  for (const response of responses) {
    const [status] = await read(response);
    assert.equal(status === 200, !response.complete, `${status}`);
  }
  const statuses = responses.map(({ statusCode }) => statusCode);
  assert.ok(statuses.includes(200), "some are passed on");
  assert.ok(statuses.includes(502), "some are held");
});

// Guards against callers that never read and keep the memory for good.
test("a long answer that its caller does not read is cut and gives room", async (context) => {
  const site = await startSite(context, { idleMs: IDLE_MS });
  const unread: IncomingMessage[] = [];
  for (let count = 0; count < UNREAD_COUNT; count++) {
    unread.push(await send(site, `unread-${count}`));
  }
  const waiting = await send(site, "waiting");
  assert.equal(waiting.statusCode, 503);
  waiting.resume();
  const after = await sendUntilTaken(site, "after");
  assert.deepEqual(await read(after), [200, ANSWER_BYTES]);
  // The sockets of one may have taken all of its answer.
  const lengths = [];
  for (const response of unread) {
    const [, bytes] = await read(response);
    assert.equal(response.complete, bytes === ANSWER_BYTES);
    lengths.push(bytes);
  }
  assert.ok(lengths.some((bytes) => bytes < ANSWER_BYTES), `${lengths}`);
});
