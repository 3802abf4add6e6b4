/** Tests of streams that their servers end with their connection. */
import assert from "node:assert/strict";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { test, type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import {
  type BackendHandler,
  beginStream,
  eventOf,
  eventsOf,
  startBackend,
} from "../servers/backend_fixture.ts";
import {
  call,
  type CallerAnswer,
  startGateway,
  type TestGateway,
  untilReady,
} from "../gateway_fixture.ts";
import { CALLER_VERSIONS, callRaw } from "./raw_caller_fixture.ts";

/** Begins a stream with neither a length nor chunks. */
function beginUnframed(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  beginStream(request, response);
}

async function startVm(
  context: TestContext,
  options: { readonly isResumable: boolean },
  handler: BackendHandler,
): Promise<TestGateway> {
  const backends = await Promise.all(
    ["one", "two"].map((id) => startBackend(id, handler)),
  );
  const gateway = await startGateway({
    backends,
    manifest: { routes: [routeOf({ ...options, maxAttempts: 3 })] },
  });
  context.after(async () => {
    await gateway.gateway.stop();
    await Promise.all(backends.map((backend) => backend.close()));
  });
  await untilReady(gateway);
  return gateway;
}

async function stream(
  ...parameters: Parameters<typeof startVm>
): Promise<CallerAnswer> {
  const { callerAddress } = await startVm(...parameters);
  return await call(callerAddress, {});
}

/** Ends the first stream inside its fourth event, others after the sixth. */
function breakFirst(): BackendHandler {
  let count = 0;
  return (request, response) => {
    count += 1;
    beginUnframed(request, response);
    const next = Number(request.headers["test-last"] ?? 0) + 1;
    if (count === 1) response.end(eventsOf(1, 3) + eventOf(4).slice(0, 9));
    else response.end(eventsOf(next, 6));
  };
}

test("a stream that ends inside an event has been broken off and is resumed", async (context) => {
  const answer = await stream(context, { isResumable: true }, breakFirst());
  assert.equal(answer.body, eventsOf(1, 6));
});

for (const version of CALLER_VERSIONS) {
  test(`a stream that ends inside an event and can't be resumed is cut: HTTP/${version}`, async (context) => {
    const { callerAddress } = await startVm(
      context,
      { isResumable: false },
      breakFirst(),
    );
    const answer = await callRaw({ address: callerAddress, version });
    assert.equal(answer.body, eventsOf(1, 3));
    assert.ok(!answer.looksComplete);
  });
}

test("a stream that ends after an event is complete", async (context) => {
  const answer = await stream(
    context,
    { isResumable: false },
    (request, response) => {
      beginUnframed(request, response);
      response.end(eventsOf(1, 3));
    },
  );
  assert.equal(answer.body, eventsOf(1, 3));
});

test("a stream that ends before its first event goes on at another server", async (context) => {
  let count = 0;
  const answer = await stream(
    context,
    { isResumable: true },
    (request, response) => {
      count += 1;
      beginUnframed(request, response);
      const next = Number(request.headers["test-last"] ?? 0) + 1;
      response.end(count === 1 ? "" : eventsOf(next, 3));
    },
  );
  assert.equal(answer.body, eventsOf(1, 3));
});

// Guards against MIXED: a caller that had ended its side of the connection got a
// part of an unframed answer, and then the end by which such an answer is whole.
for (const version of CALLER_VERSIONS) {
  test(`an unframed answer to a half-closed caller is cut visibly: HTTP/${version}`, async (context) => {
    const { callerAddress } = await startVm(
      context,
      { isResumable: false },
      (request, response) => {
        beginUnframed(request, response);
        response.write(eventsOf(1, 3));
        setTimeout(() => response.end(eventsOf(4, 6)), 300);
      },
    );
    const { status, body, looksComplete, ending } = await callRaw({
      address: callerAddress,
      version,
      endAfterMs: 100,
    });
    assert.equal(status, 200);
    const isWhole = body === eventsOf(1, 6);
    assert.equal(looksComplete, isWhole, body);
    // Nothing but a reset shows a caller without chunks that a part is one.
    if (version === "1.0") assert.equal(ending, isWhole ? "plain" : "reset");
  });
}
