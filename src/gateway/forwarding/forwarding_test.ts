/** Tests of forwarding requests, over real connections. */
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import {
  type BackendHandler,
  beginStream,
  eventOf,
  eventsOf,
  sendCompleteAnswer,
  startBackend,
  type TestBackend,
} from "../servers/backend_fixture.ts";
import {
  call,
  type CallerAnswer,
  type CallOptions,
  LOOKUP_ROUTE,
  REGISTER_ROUTE,
  startGateway,
  type TestGateway,
  untilReady,
} from "../gateway_fixture.ts";

interface Setup {
  readonly gateway: TestGateway;
  readonly backends: readonly TestBackend[];
  readonly send: (request: CallOptions) => Promise<CallerAnswer>;
}

/** Starts a gateway and its backend servers; all stop with the test. */
async function setUp(
  context: TestContext,
  handlers: readonly BackendHandler[],
): Promise<Setup> {
  const backends = await Promise.all(
    handlers.map((handler, index) => startBackend(`server-${index}`, handler)),
  );
  const gateway = await startGateway({
    backends,
    manifest: {
      routes: [
        routeOf({ models: ["small", "large"] }),
        LOOKUP_ROUTE,
        REGISTER_ROUTE,
      ],
    },
  });
  await untilReady(gateway);
  context.after(async () => {
    await Promise.all([
      gateway.gateway.stop(),
      ...backends.map((backend) => backend.close()),
    ]);
  });
  const send = (request: CallOptions): Promise<CallerAnswer> =>
    call(gateway.callerAddress, request);
  return { gateway, backends, send };
}

function totalReceived(backends: readonly TestBackend[]): number {
  return backends.reduce((sum, { requestIds }) => sum + requestIds.length, 0);
}

/** Handlers of two servers: `first` for the first request, `rest` for others. */
function firstThen(
  first: BackendHandler,
  rest: BackendHandler,
): BackendHandler[] {
  let count = 0;
  const handler: BackendHandler = (request, response) => {
    count += 1;
    (count === 1 ? first : rest)(request, response);
  };
  return [handler, handler];
}

test("a request and its answer are forwarded unchanged", async (context) => {
  const { send, backends } = await setUp(context, [sendCompleteAnswer]);
  const answer = await send({ path: "/lookups/a?b=c", method: "GET" });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, "whole");
  assert.equal(answer.headers["test-signature"], "signed");
  assert.equal(backends[0]?.requestHeaders[0]?.["test-workspace"], "assessors");
});

test("a stream that breaks inside an event goes on at another server", async (context) => {
  const { send, backends } = await setUp(
    context,
    firstThen((request, response) => {
      beginStream(request, response);
      response.write(eventsOf(1, 3) + eventOf(4).slice(0, 9));
      setTimeout(() => response.destroy(), 30);
    }, (request, response) => {
      beginStream(request, response);
      const next = Number(request.headers["test-last"]) + 1;
      response.end(eventsOf(next, 6));
    }),
  );
  const answer = await send({});
  assert.equal(answer.body, eventsOf(1, 6));
  assert.ok(answer.isComplete);
  // The id and last event of each request, to explain a surplus one.
  const received = backends.map(({ requestHeaders }) =>
    requestHeaders.map((headers) => [headers["test-id"], headers["test-last"]])
  );
  assert.equal(totalReceived(backends), 2, JSON.stringify(received));
});

test("a stream with a missing event is resumed at another server", async (context) => {
  const { send } = await setUp(
    context,
    firstThen((request, response) => {
      beginStream(request, response);
      response.end(eventOf(1) + eventOf(3));
    }, (request, response) => {
      beginStream(request, response);
      const next = Number(request.headers["test-last"]) + 1;
      response.end(eventsOf(next, 3));
    }),
  );
  assert.equal((await send({})).body, eventsOf(1, 3));
});

test("a resumed stream without further events has the server's head", async (context) => {
  const { send } = await setUp(context, [(request, response) => {
    beginStream(request, response);
    response.end();
  }]);
  const answer = await send({ headers: { "test-last": "6" } });
  assert.equal(answer.status, 200);
  assert.equal(answer.headers["test-signature"], "signed");
  assert.equal(answer.body, "");
});

test("a request that is not retriable is not sent again after a reset", async (context) => {
  const reset: BackendHandler = (_request, response) => response.destroy();
  const { send, backends } = await setUp(context, [reset, reset]);
  const answer = await send({ path: "/registrations/a" });
  assert.equal(answer.status, 502);
  assert.equal(answer.headers["retry-after"], undefined);
  assert.equal(totalReceived(backends), 1);
});

test("a request that is not retriable is sent to another server if the first did not run it", async (context) => {
  const { send, backends } = await setUp(
    context,
    firstThen((_request, response) => {
      response.writeHead(503, { "test-not-run": "1" }).end();
    }, sendCompleteAnswer),
  );
  const answer = await send({ path: "/registrations/a", body: "claim" });
  assert.equal(answer.status, 200);
  assert.equal(totalReceived(backends), 2);
});

test("a request that no server ran is refused with a retry delay", async (context) => {
  const full: BackendHandler = (_request, response) => {
    response.writeHead(503, { "test-not-run": "1" }).end();
  };
  const { send } = await setUp(context, [full, full]);
  const answer = await send({ path: "/registrations/a" });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers["retry-after"]) > 0);
});

test("an answer to another request is not sent to the caller", async (context) => {
  const foreign: BackendHandler = (_request, response) => {
    response.writeHead(200, {
      "test-id": "someone-else",
      "test-signature": "signed",
    });
    response.end("not yours");
  };
  const { send } = await setUp(context, firstThen(foreign, sendCompleteAnswer));
  const answer = await send({ path: "/lookups/a", method: "GET" });
  assert.equal(answer.body, "whole");
  const { send: sendOnce } = await setUp(context, [foreign]);
  assert.equal((await sendOnce({ path: "/registrations/a" })).status, 502);
});

test("a retriable request is sent again after a truncated answer", async (context) => {
  const { send } = await setUp(
    context,
    firstThen((request, response) => {
      response.writeHead(200, {
        "test-id": String(request.headers["test-id"]),
        "test-signature": "signed",
        "content-length": "400",
      });
      response.write("a part");
      setTimeout(() => response.destroy(), 10);
    }, sendCompleteAnswer),
  );
  const answer = await send({ path: "/lookups/a", method: "GET" });
  assert.equal(answer.body, "whole");
});

// Guards against MIXED: a part of an answer was given a length of its own.
test("an answer without a length is forwarded without one", async (context) => {
  const { send } = await setUp(context, [(request, response) => {
    const socket = response.socket;
    const id = String(request.headers["test-id"]);
    socket?.end(
      `HTTP/1.1 200 OK\r\ntest-id: ${id}\r\ntest-signature: s\r\n` +
        "Connection: close\r\n\r\nno length",
    );
  }]);
  const answer = await send({ path: "/lookups/a", method: "GET" });
  assert.equal(answer.body, "no length");
  assert.equal(answer.headers["content-length"], undefined);
  assert.equal(answer.headers["transfer-encoding"], undefined);
  assert.ok(answer.isComplete);
});

test("an answer of low confidence is replaced by one of a larger model", async (context) => {
  const models: string[] = [];
  const byModel: BackendHandler = (request, response) => {
    const model = String(request.headers["test-model"]);
    models.push(model);
    const confidence = model === "small" ? "12" : "88";
    beginStream(request, response, { "test-confidence": confidence });
    response.end(`id: 1\ndata: ${model}\n\n`);
  };
  const { send } = await setUp(context, [byModel]);
  const answer = await send({ headers: { "test-model": "any" } });
  assert.match(answer.body, /large/);
  assert.deepEqual(models, ["small", "large"]);
});

test("a request is cancelled at the server when its caller disconnects", async (context) => {
  let closedAtMs = 0;
  const { send } = await setUp(context, [(request, response) => {
    beginStream(request, response);
    response.write(eventOf(1));
    response.on("close", () => closedAtMs = performance.now());
  }]);
  const disconnect = new AbortController();
  const sent = send({ signal: disconnect.signal }).catch(() => undefined);
  await delay(100);
  const disconnectedAtMs = performance.now();
  disconnect.abort();
  await sent;
  await delay(200);
  assert.ok(
    closedAtMs >= disconnectedAtMs && closedAtMs - disconnectedAtMs < 500,
  );
});

test("a request is refused at its route's time limit", async (context) => {
  const { send } = await setUp(context, [() => {}]);
  const startedAtMs = performance.now();
  const answer = await send({ path: "/registrations/a" });
  assert.equal(answer.status, 504);
  const durationMs = performance.now() - startedAtMs;
  assert.ok(durationMs >= 990 && durationMs < 1500, `${durationMs}`);
});

test("a request goes from a silent server to another in time", async (context) => {
  const { send } = await setUp(
    context,
    firstThen(() => {}, sendCompleteAnswer),
  );
  const startedAtMs = performance.now();
  const answer = await send({ path: "/lookups/a", method: "GET" });
  assert.equal(answer.body, "whole");
  assert.ok(performance.now() - startedAtMs < 1000);
});

test("streams resume when a third of the servers fail at once", async (context) => {
  let hasFailed = false;
  const handler =
    (isFailing: boolean): BackendHandler => (request, response) => {
      const next = Number(request.headers["test-last"] ?? 0) + 1;
      beginStream(request, response);
      if (next > 1) return void response.end(eventsOf(next, 4));
      response.write(eventOf(1));
      const timer = setInterval(() => {
        if (!hasFailed) return;
        clearInterval(timer);
        if (isFailing) response.destroy();
        else response.end(eventsOf(2, 4));
      }, 10);
    };
  const { send } = await setUp(context, [
    handler(true),
    handler(false),
    handler(false),
  ]);
  const sent = Array.from(
    { length: 30 },
    (_, index) => send({ headers: { "test-id": `request-${index}` } }),
  );
  await delay(300);
  hasFailed = true;
  for (const answer of await Promise.all(sent)) {
    assert.equal(answer.body, eventsOf(1, 4));
    assert.ok(answer.isComplete);
  }
});
