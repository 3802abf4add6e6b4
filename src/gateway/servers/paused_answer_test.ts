/** Tests of answers that their server has completed while they are paused. */
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { BackendExchange } from "./backend_exchange.ts";

const PART = "x".repeat(1000);
const PART_COUNT = 8;
const PAUSE_MS = 200;

interface Outcome {
  readonly length: number;
  readonly end: string;
}

/** Pauses an answer at its first part, until its connection is closed. */
async function readPaused(
  context: TestContext,
  answer: (socket: Socket) => void,
): Promise<Outcome> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  let length = 0;
  let end = "";
  const exchange = new BackendExchange({
    address: `127.0.0.1:${port}`,
    method: "GET",
    target: "/",
    headers: [],
    body: Buffer.alloc(0),
    connectTimeoutMs: 400,
  }, {
    onConnected: () => {},
    onHead: () => {},
    onData: (chunk) => {
      if (length === 0) exchange.pause();
      length += chunk.length;
    },
    onEnd: () => end += "end",
    onFault: ({ kind }) => end += kind,
    onException: (error) => assert.fail(error),
  });
  await delay(PAUSE_MS);
  exchange.resume();
  await delay(PAUSE_MS);
  exchange.cancel();
  return { length, end };
}

async function sendParts(socket: Socket, count: number): Promise<void> {
  for (let part = 0; part < count; part++) {
    socket.write(`${PART.length.toString(16)}\r\n${PART}\r\n`);
    await delay(5);
  }
}

const HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

// Guards against LOST: the close of a complete answer's connection was taken for
// a reset where the answer's caller reads slowly.
test("an answer that was completed while it was paused is read to its end", async (context) => {
  const { length, end } = await readPaused(context, (socket) => {
    socket.write(HEAD);
    void sendParts(socket, PART_COUNT).then(() => socket.end("0\r\n\r\n"));
  });
  assert.equal(length, PART_COUNT * PART.length);
  assert.equal(end, "end");
});

test("an answer that broke off while it was paused is a fault", async (context) => {
  const { end } = await readPaused(context, (socket) => {
    socket.write(HEAD);
    void sendParts(socket, PART_COUNT).then(() => socket.end());
  });
  assert.equal(end, "reset");
});

test("an unframed answer that was reset while it was paused is a fault", async (context) => {
  const { end } = await readPaused(context, (socket) => {
    socket.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + PART);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  assert.equal(end, "reset");
});
