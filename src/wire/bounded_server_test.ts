/** Tests of the bounds on the connections of a server. */
import assert from "node:assert/strict";
import { type RequestListener } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { LOOPBACK_HOST } from "../model/loopback_fixture.ts";
import { type BoundCause, createBoundedServer } from "./bounded_server.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
/** A request with a part of its body. */
const BEGUN_REQUEST =
  "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\npart";
const MAX_CONNECTION_COUNT = 3;
const MAX_OPEN_REQUEST_COUNT = 4;
/** A little longer than after which a request may give its place away. */
const LONG_ARRIVAL_MS = 1100;
const POLL_MS = 5;
const TIMEOUT_MS = 5000;

class Client {
  readonly socket: Socket;
  text = "";
  isClosed = false;

  constructor(context: TestContext, port: number) {
    this.socket = connect(port, LOOPBACK_HOST);
    this.socket.on("data", (part) => this.text += String(part));
    this.socket.on("error", () => {});
    this.socket.on("close", () => this.isClosed = true);
    context.after(() => this.socket.destroy());
  }

  get answerCount(): number {
    return this.text.split("HTTP/1.1 200").length - 1;
  }
}

interface Site {
  readonly causes: BoundCause[];
  readonly connect: () => Promise<Client>;
}

async function startSite(
  context: TestContext,
  listener: RequestListener,
): Promise<Site> {
  const causes: BoundCause[] = [];
  const server = createBoundedServer({}, {
    maxConnectionCount: MAX_CONNECTION_COUNT,
    maxOpenRequestCount: MAX_OPEN_REQUEST_COUNT,
    onClose: (cause) => causes.push(cause),
  }, listener);
  let connectionCount = 0;
  server.on("connection", () => connectionCount += 1);
  await new Promise<void>((resolve) =>
    server.listen(0, LOOPBACK_HOST, resolve)
  );
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return {
    causes,
    connect: async () => {
      const count = connectionCount + 1;
      const client = new Client(context, port);
      await until(() => connectionCount === count);
      return client;
    },
  };
}

async function until(isDone: () => boolean): Promise<void> {
  const endMs = performance.now() + TIMEOUT_MS;
  while (!isDone()) {
    assert.ok(performance.now() < endMs, "condition not met in time");
    await delay(POLL_MS);
  }
}

const answer: RequestListener = (_request, response) => {
  response.end("done");
};

// Guards against connections without requests that take all descriptors.
test("the connection that has been idle for longest is closed for a new one", async (context) => {
  const site = await startSite(context, answer);
  const [first, second, third] = [
    await site.connect(),
    await site.connect(),
    await site.connect(),
  ];
  first.socket.write(REQUEST);
  await until(() => first.answerCount === 1);
  const fourth = await site.connect();
  await until(() => second.isClosed);
  fourth.socket.write(REQUEST);
  await until(() => fourth.answerCount === 1);
  assert.ok(!first.isClosed && !third.isClosed);
  assert.deepEqual(site.causes, ["connections"]);
});

test("a new connection is closed where all others have requests", async (context) => {
  const site = await startSite(context, () => {});
  const clients: Client[] = [];
  for (let count = 0; count < MAX_CONNECTION_COUNT; count++) {
    const client = await site.connect();
    client.socket.write(REQUEST);
    clients.push(client);
  }
  await delay(10 * POLL_MS);
  const last = await site.connect();
  await until(() => last.isClosed);
  assert.ok(clients.every(({ isClosed }) => !isClosed));
});

// Guards against bodies without end that hold all connections, so that no other
// client is served.
test("the connection whose request has been arriving for longest is closed for a new one", async (context) => {
  const site = await startSite(context, (request, response) => {
    if (request.complete) response.end("done");
    else request.resume().once("end", () => response.end("done"));
  });
  const clients: Client[] = [];
  for (let count = 0; count < MAX_CONNECTION_COUNT; count++) {
    const client = await site.connect();
    client.socket.write(BEGUN_REQUEST);
    clients.push(client);
  }
  await delay(10 * POLL_MS);
  const early = await site.connect();
  await until(() => early.isClosed);
  assert.ok(clients.every(({ isClosed }) => !isClosed));
  await delay(LONG_ARRIVAL_MS);
  const late = await site.connect();
  late.socket.write(REQUEST);
  await until(() => late.answerCount === 1);
  assert.deepEqual(clients.map(({ isClosed }) => isClosed), [
    true,
    false,
    false,
  ]);
  assert.deepEqual(site.causes, ["connections", "connections"]);
});

// Guards against a request that is cut while it runs, after it has arrived.
test("no connection whose request has arrived is closed for a new one", async (context) => {
  const site = await startSite(context, () => {});
  const waiting = await site.connect();
  waiting.socket.write(REQUEST);
  const arriving = [await site.connect(), await site.connect()];
  for (const { socket } of arriving) socket.write(BEGUN_REQUEST);
  await delay(LONG_ARRIVAL_MS + 10 * POLL_MS);
  for (const client of arriving) {
    const next = await site.connect();
    next.socket.write(REQUEST);
    await until(() => client.isClosed);
  }
  const last = await site.connect();
  await until(() => last.isClosed);
  assert.ok(!waiting.isClosed);
});

// Guards against requests sent ahead that are all kept until they are answered.
test("a connection with too many open requests is closed", async (context) => {
  let requestCount = 0;
  const site = await startSite(context, () => void (requestCount += 1));
  const client = await site.connect();
  client.socket.write(REQUEST.repeat(100 * MAX_OPEN_REQUEST_COUNT));
  await until(() => client.isClosed);
  assert.equal(requestCount, MAX_OPEN_REQUEST_COUNT);
  assert.deepEqual(site.causes, ["requests_ahead"]);
});

test("requests ahead within the bound are answered, however many follow", async (context) => {
  const site = await startSite(context, answer);
  const client = await site.connect();
  const roundCount = 5;
  for (let round = 1; round <= roundCount; round++) {
    client.socket.write(REQUEST.repeat(MAX_OPEN_REQUEST_COUNT));
    await until(() => client.answerCount === round * MAX_OPEN_REQUEST_COUNT);
  }
  assert.ok(!client.isClosed);
});
