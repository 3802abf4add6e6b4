/** Tests of streams that break off and whose next servers give no stream. */
import assert from "node:assert/strict";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { test } from "node:test";
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
  untilReady,
} from "../gateway_fixture.ts";

const STREAM = { "content-type": "text/event-stream" };
const ERROR_TEXT = "id: 4\ndata: no stream\n\n";
const STATUSES = [200, 204, 302, 304, 400, 404, 409, 422, 429, 500, 503];

/** A handler that answers the first request differently from the others. */
function firstThen(
  first: BackendHandler,
  rest: BackendHandler,
): BackendHandler {
  let count = 0;
  return (request, response) => {
    count += 1;
    (count === 1 ? first : rest)(request, response);
  };
}

/** Sends some events and breaks off. */
function breakOff(request: IncomingMessage, response: ServerResponse): void {
  beginStream(request, response, STREAM);
  response.write(eventsOf(1, 3) + eventOf(4).slice(0, 9));
  setTimeout(() => response.destroy(), 30);
}

interface AnswerKind {
  readonly status: number;
  readonly isFramed: boolean;
  readonly isSigned: boolean;
}

/** Answers with a text, if the status has a body. */
function answerWith(
  { status, isFramed, isSigned }: AnswerKind,
): BackendHandler {
  return (request, response) => {
    const headers: Record<string, string> = { "content-type": "text/plain" };
    if (isFramed) headers["content-length"] = String(ERROR_TEXT.length);
    else response.useChunkedEncodingByDefault = false;
    headers["test-id"] = String(request.headers["test-id"]);
    if (isSigned) headers["test-signature"] = "signed";
    response.writeHead(status, headers);
    response.end(ERROR_TEXT);
  };
}

/** Sends a request for a stream to a VM with two servers. */
async function stream(handler: BackendHandler): Promise<CallerAnswer> {
  const backends = await Promise.all(
    ["a", "b"].map((id) => startBackend(id, handler)),
  );
  const vm = await startGateway({
    backends,
    manifest: { routes: [routeOf({ maxAttempts: 3 })] },
    settings: { retryBound: { ratio: 3, slackCount: 0, windowMs: 10_000 } },
  });
  try {
    await untilReady(vm);
    return await call(vm.callerAddress, {});
  } finally {
    await vm.gateway.stop();
    await Promise.all(backends.map((backend) => backend.close()));
  }
}

const KINDS = STATUSES.flatMap((status) =>
  [true, false].flatMap((isFramed) =>
    [true, false].map((isSigned) => ({ status, isFramed, isSigned }))
  )
);

// Guards against MIXED, ORDER and ended processes: an answer that is no stream
// was written after the head of a stream, or its end taken for the stream's.
test("a broken stream is cut visibly if other servers give none", async () => {
  await Promise.all(KINDS.map(async (kind) => {
    const handler = firstThen(breakOff, answerWith(kind));
    const { status, body, isComplete } = await stream(handler);
    const expected = { status: 200, body: eventsOf(1, 3), isComplete: false };
    assert.deepEqual(
      { status, body, isComplete },
      expected,
      JSON.stringify(kind),
    );
  }));
});

test("a broken stream goes on at a third server after one that gives none", async () => {
  const goOn: BackendHandler = (request, response) => {
    beginStream(request, response, STREAM);
    const next = Number(request.headers["test-last"]) + 1;
    response.end(eventsOf(next, 6));
  };
  const fail = answerWith({ status: 404, isFramed: true, isSigned: true });
  const answer = await stream(
    firstThen(breakOff, firstThen(fail, goOn)),
  );
  assert.equal(answer.body, eventsOf(1, 6));
  assert.ok(answer.isComplete);
});

// Guards against MIXED: an error of a resumed stream without an id was passed on.
test("an event without a number does not continue a numbered stream", async () => {
  const answer = await stream(
    firstThen(breakOff, (request, response) => {
      beginStream(request, response, STREAM);
      response.end("event: error\ndata: overloaded\n\n");
    }),
  );
  assert.equal(answer.body, eventsOf(1, 3));
  assert.equal(answer.isComplete, false);
});

// Guards against MIXED: the head of a server none of whose events was sent.
test("a stream that broke before its first event has the next server's head", async () => {
  const answer = await stream(
    firstThen((request, response) => {
      beginStream(request, response, { ...STREAM, "test-signature": "first" });
      response.write(eventOf(1).slice(0, 5));
      setTimeout(() => response.destroy(), 30);
    }, (request, response) => {
      beginStream(request, response, { ...STREAM, "test-signature": "next" });
      response.end(eventsOf(1, 2));
    }),
  );
  assert.equal(answer.headers["test-signature"], "next");
  assert.equal(answer.body, eventsOf(1, 2));
});

// Guards against ORDER: a stream without numbers was sent again from its start,
// after the events that its caller had.
test("a broken stream without numbers is cut", async () => {
  const event = "data: piece\n\n";
  const answer = await stream(
    firstThen((request, response) => {
      beginStream(request, response, STREAM);
      response.write(event + event);
      setTimeout(() => response.destroy(), 30);
    }, (request, response) => {
      beginStream(request, response, STREAM);
      response.end(event + event + event);
    }),
  );
  assert.equal(answer.body, event + event);
  assert.equal(answer.isComplete, false);
});
