/** Tests of connections that carry more than one request of a caller. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  beginStream,
  eventOf,
  eventsOf,
  sendCompleteAnswer,
} from "../servers/backend_fixture.ts";
import {
  answerLate,
  answerSoon,
  connectCaller,
  headOf,
  openCount,
  requestOf,
  setUp,
  SHORT_WORK_MS,
  statusesIn,
  WORK_MS,
} from "./caller_connection_fixture.ts";
import { until } from "../until_fixture.ts";

// Guards against a 408 for a request that its server is working on.
test("a next head that stays incomplete leaves the open request its answer", async (context) => {
  const site = await setUp(context, answerLate);
  const caller = connectCaller(site);
  caller.socket.write(`${requestOf("a")}POST /registrations/b HTTP/1.1\r\n`);
  await until(() => caller.isClosed);
  assert.deepEqual(statusesIn(caller), ["200"]);
  assert.match(caller.text, /connection: close[^]*\r\n\r\nwhole$/i);
  assert.deepEqual(site.backend.requestIds, ["a"]);
});

// Guards against a 400 that ends the work on an earlier request.
test("garbage after a request leaves the open request its answer", async (context) => {
  const site = await setUp(context, answerLate);
  const caller = connectCaller(site);
  caller.socket.write(`${requestOf("a")}\0garbage`);
  await until(() => caller.isClosed);
  assert.deepEqual(statusesIn(caller), ["200"]);
  assert.match(caller.text, /connection: close[^]*\r\n\r\nwhole$/i);
});

// Guards against an answer cut by an error in what follows its request.
test("garbage during a stream lets it end completely", async (context) => {
  const site = await setUp(context, (request, response) => {
    beginStream(request, response);
    response.write(eventOf(1));
    setTimeout(() => response.end(eventsOf(2, 3)), WORK_MS);
  });
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a").replace("/registrations/", "/drafts/"));
  await until(() => caller.text.includes("piece 1"));
  caller.socket.write("\0garbage");
  await until(() => caller.isClosed);
  assert.deepEqual(statusesIn(caller), ["200"]);
  assert.match(caller.text, /piece 3[^]*\r\n0\r\n\r\n$/);
});

const TUNNEL_REQUEST = "CONNECT b:80 HTTP/1.1\r\nHost: b\r\n\r\n";

// Guards against LOST: Node closes a connection at once that asks for a tunnel,
// and gives it away with its listeners where that is answered.
test("a request for a tunnel leaves the open request its answer", async (context) => {
  const site = await setUp(context, answerLate);
  const callers = ["a", "b"].map((id) => {
    const caller = connectCaller(site);
    caller.socket.write(requestOf(id));
    return caller;
  });
  const [caller, leaving] = callers;
  await until(() => site.backend.requestIds.length === 2);
  for (const { socket } of callers) socket.write(TUNNEL_REQUEST);
  await delay(SHORT_WORK_MS);
  leaving?.socket.resetAndDestroy();
  await until(() => openCount(site) === 1);
  await until(() => caller?.isClosed === true);
  assert.deepEqual(callers.map(statusesIn), [["200"], []]);
  const other = connectCaller(site);
  other.socket.write(TUNNEL_REQUEST);
  await until(() => other.isClosed);
  assert.deepEqual(statusesIn(other), ["405"]);
});

// Guards against other statuses where no request is open.
test("garbage after an answered request and a broken body get 400", async (context) => {
  const site = await setUp(context, sendCompleteAnswer);
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a"));
  await until(() => caller.text.endsWith("whole"));
  caller.socket.write("\0garbage");
  await until(() => caller.isClosed);
  assert.deepEqual(statusesIn(caller), ["200", "400"]);
  const broken = connectCaller(site);
  const head = headOf("b", 0).replace(
    "Content-Length: 0",
    "Transfer-Encoding: chunked",
  );
  broken.socket.write(`${head}no length\r\n`);
  await until(() => broken.isClosed);
  assert.deepEqual(statusesIn(broken), ["400"]);
  assert.deepEqual(site.backend.requestIds, ["a"]);
});

// Guards against a lost answer as the VM stops.
test("a request behind the last answer of a stopping VM is not passed on", async (context) => {
  const site = await setUp(context, answerSoon);
  void site.gateway.gateway.stop();
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a") + requestOf("b"));
  await until(() => caller.isClosed);
  assert.deepEqual(statusesIn(caller), ["200"]);
  assert.deepEqual(site.backend.requestIds, ["a"]);
});

// Guards against a lost answer behind one that ends with the connection.
test("a request behind a stream that ends with the connection is not passed on", async (context) => {
  const site = await setUp(context, (request, response) => {
    beginStream(request, response);
    response.write(eventOf(1));
    setTimeout(() => response.end(eventsOf(2, 3)), SHORT_WORK_MS);
  });
  const caller = connectCaller(site);
  // A caller that does not know chunks, and sends requests ahead all the same.
  const first = requestOf("a").replace("/registrations/", "/drafts/")
    .replace("HTTP/1.1\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n");
  caller.socket.write(first + requestOf("b"));
  await until(() => caller.isClosed);
  assert.deepEqual(statusesIn(caller), ["200"]);
  assert.ok(caller.text.endsWith(`\r\n\r\n${eventsOf(1, 3)}`), caller.text);
  assert.deepEqual(site.backend.requestIds, ["a"]);
});

test("a request behind an answer without framing is not passed on", async (context) => {
  const site = await setUp(context, (request, response) => {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, {
      "test-id": String(request.headers["test-id"]),
      "test-signature": "signed",
    });
    setTimeout(() => response.end("whole"), SHORT_WORK_MS);
  });
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a") + requestOf("b"));
  await until(() => caller.isClosed);
  assert.deepEqual(statusesIn(caller), ["200"]);
  assert.deepEqual(site.backend.requestIds, ["a"]);
});

// Guards against a request that runs before it is known that it is answered.
test("the requests of one connection are passed on one after another", async (context) => {
  let runningCount = 0;
  const counts: number[] = [];
  const site = await setUp(context, (request, response) => {
    counts.push(++runningCount);
    response.on("finish", () => runningCount -= 1);
    answerSoon(request, response);
  });
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a") + requestOf("b") + requestOf("c"));
  await until(() => statusesIn(caller).length === 3);
  assert.deepEqual(statusesIn(caller), ["200", "200", "200"]);
  const answered = [...caller.text.matchAll(/test-id: (\w)/g)];
  assert.deepEqual(answered.map(([, id]) => id), ["a", "b", "c"]);
  assert.deepEqual(counts, [1, 1, 1]);
});

// Guards against open requests that nobody waits for.
test("a caller that leaves takes its waiting requests along", async (context) => {
  const site = await setUp(context, answerLate);
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a") + requestOf("b"));
  await until(() => site.backend.requestIds.length > 0);
  await until(() => openCount(site) === 2);
  caller.socket.destroy();
  await until(() => openCount(site) === 0);
  assert.deepEqual(site.backend.requestIds, ["a"]);
});

// Guards against memory used up by bodies of waiting requests.
test("the body of a waiting request counts within the memory bound", async (context) => {
  // 400,000 bytes for bodies.
  const memoryBytes = 5_000_000;
  const bodyBytes = 300_000;
  const site = await setUp(context, answerLate, { memoryBytes });
  const body = "x".repeat(bodyBytes);
  const caller = connectCaller(site);
  caller.socket.write(requestOf("a") + headOf("b", bodyBytes) + body);
  await until(() => site.backend.requestIds.length > 0);
  await new Promise((resolve) => setTimeout(resolve, SHORT_WORK_MS));
  const other = connectCaller(site);
  other.socket.write(headOf("c", bodyBytes) + body);
  await until(() => other.text !== "");
  assert.deepEqual(statusesIn(other), ["503"]);
  await until(() => statusesIn(caller).length === 2);
  const last = connectCaller(site);
  last.socket.write(headOf("d", bodyBytes) + body);
  await until(() => last.text.endsWith("whole"));
  assert.deepEqual(site.backend.requestIds, ["a", "b", "d"]);
});
