/**
 * Tests of answers that their server has completed, whatever becomes of their
 * connection afterwards.
 */
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { BackendExchange } from "./backend_exchange.ts";
import { LOOPBACK_HOST } from "../../model/loopback_fixture.ts";

const BODY = "whole";
const PART = "x".repeat(1000);
const PART_COUNT = 8;
const PAUSE_MS = 200;

interface Outcome {
  readonly length: number;
  readonly end: string;
}

/** Pauses an answer where it begins, until its connection is closed. */
async function readPaused(
  context: TestContext,
  { answer, pausedAt = "first_part" }: {
    readonly answer: (socket: Socket) => void;
    readonly pausedAt?: "head" | "first_part";
  },
): Promise<Outcome> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, LOOPBACK_HOST, resolve)
  );
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  let length = 0;
  let end = "";
  const exchange = new BackendExchange({
    address: `${LOOPBACK_HOST}:${port}`,
    method: "GET",
    target: "/",
    headers: [],
    body: Buffer.alloc(0),
    connectTimeoutMs: 400,
  }, {
    onConnected: () => {},
    onHead: () => {
      if (pausedAt === "head") exchange.pause();
    },
    onData: (chunk) => {
      if (pausedAt === "first_part" && length === 0) exchange.pause();
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
const COMPLETE_ANSWERS = [
  `HTTP/1.1 200 OK\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`,
  `${HEAD}${BODY.length}\r\n${BODY}\r\n0\r\n\r\n`,
];
const FURTHER_BYTES = ["", "noise", "HTTP/1.1 500 No\r\n\r\n", "HTTP/1.1 2"];

// Guards against LOST: the close of a complete answer's connection was taken for
// a reset where the answer's caller reads slowly.
test("an answer that was completed while it was paused is read to its end", async (context) => {
  const { length, end } = await readPaused(context, {
    answer: (socket) => {
      socket.write(HEAD);
      void sendParts(socket, PART_COUNT).then(() => socket.end("0\r\n\r\n"));
    },
  });
  assert.equal(length, PART_COUNT * PART.length);
  assert.equal(end, "end");
});

test("an answer that broke off while it was paused is a fault", async (context) => {
  const { end } = await readPaused(context, {
    answer: (socket) => {
      socket.write(HEAD);
      void sendParts(socket, PART_COUNT).then(() => socket.end());
    },
  });
  assert.equal(end, "reset");
});

test("an unframed answer that was reset while it was paused is a fault", async (context) => {
  const { end } = await readPaused(context, {
    answer: (socket) => {
      socket.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + PART);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
  });
  assert.equal(end, "reset");
});

// Guards against LOST: an answer was dropped, and the request counted as failed,
// as bytes or a reset came after it.
test("what follows a complete answer on its connection changes nothing", async (context) => {
  const ends = ["end", "resetAndDestroy"] as const;
  await Promise.all(
    COMPLETE_ANSWERS.flatMap((answer) =>
      FURTHER_BYTES.flatMap((further) =>
        ends.map(async (end) => {
          const outcome = await readPaused(context, {
            pausedAt: "head",
            answer: (socket) => {
              socket.write(answer + further);
              setTimeout(() => socket[end](), 20);
            },
          });
          const expected = { length: BODY.length, end: "end" };
          assert.deepEqual(outcome, expected, `${answer + further} ${end}`);
        })
      )
    ),
  );
});
