/** Tests of the plain service client. */
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { once } from "node:events";
import {
  type AddressInfo,
  createServer as createSocketServer,
  type Socket,
} from "node:net";
import { test, type TestContext } from "node:test";
import { type ServiceRequest } from "../model/mod.ts";
import { ServiceClient } from "./plain_service.ts";

const ROUNDS = 40;
const CONCURRENCY = 8;
const TIMEOUT_MS = 10_000;

function keyedRequest(index: number): ServiceRequest {
  return {
    kind: "service",
    requestId: `r${index}`,
    workspace: "/khomas/heritage",
    session: undefined,
    idempotencyKey: `k${index}`,
    deadlineMs: TIMEOUT_MS,
    service: "records-desk",
    method: "POST",
    target: "/",
    contentType: "text/plain",
    body: new TextEncoder().encode("claim"),
  };
}

interface CountingServer {
  readonly server: Server;
  readonly connectionCount: () => number;
}

async function startServer(): Promise<CountingServer> {
  let count = 0;
  const server = createServer((request, response) => {
    request.resume().once("end", () => response.end("done"));
  });
  server.on("connection", () => count += 1);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return { server, connectionCount: () => count };
}

test("keyed calls do not share connections and all complete", async () => {
  const { server, connectionCount } = await startServer();
  const { port } = server.address() as AddressInfo;
  const client = new ServiceClient({
    connectTimeoutMs: 1000,
    maxConnectionsPerServer: 4,
    maxBodyBytes: 1024,
  });
  let failedCount = 0;
  const callAll = async (worker: number): Promise<void> => {
    for (let round = 0; round < ROUNDS; round += 1) {
      const request = keyedRequest(worker * ROUNDS + round);
      const called = await client.call(request, {
        address: `127.0.0.1:${port}`,
        signal: new AbortController().signal,
        timeoutMs: TIMEOUT_MS,
        isFresh: true,
      });
      if (called.isErr()) failedCount += 1;
    }
  };
  await Promise.all(
    Array.from({ length: CONCURRENCY }, (_, worker) => callAll(worker)),
  );
  await client.close();
  server.close();
  assert.equal(failedCount, 0);
  assert.equal(connectionCount(), ROUNDS * CONCURRENCY);
});

/** Sends raw bytes as the answer to each request, and then breaks off. */
async function callRaw(
  context: TestContext,
  { text, breakOff }: {
    readonly text: string;
    readonly breakOff: (socket: Socket) => void;
  },
): Promise<Awaited<ReturnType<ServiceClient["call"]>>> {
  const server = createSocketServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(text);
      server.close();
      setTimeout(() => breakOff(socket), 50);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = new ServiceClient({
    connectTimeoutMs: 1000,
    maxConnectionsPerServer: 4,
    maxBodyBytes: 1024,
  });
  context.after(() => client.close());
  return await client.call(keyedRequest(0), {
    address: `127.0.0.1:${port}`,
    signal: new AbortController().signal,
    timeoutMs: TIMEOUT_MS,
    isFresh: true,
  });
}

/** How a server breaks off an answer that states no length. */
const BREAKS = {
  reset: (socket) => void socket.resetAndDestroy(),
  closed: (socket) => void socket.destroy(),
} satisfies Record<string, (socket: Socket) => void>;

for (const how of ["reset", "closed"] as const) {
  // Guards against MIXED: part of an answer without a length was passed on as a
  // whole one.
  test(`an answer that breaks off without a length is no answer: ${how}`, async (context) => {
    const called = await callRaw(context, {
      text: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part",
      breakOff: BREAKS[how],
    });
    assert.equal(called.isErr() && called.error.fault, "broken");
  });
}

for (const status of ["000", "099", "600", "999", "20", "2x0"]) {
  // Guards against MIXED: a server in trouble sends a status that is none.
  test(`an answer with the status ${status} is no answer`, async (context) => {
    const called = await callRaw(context, {
      text: `HTTP/1.1 ${status} -\r\nContent-Length: 4\r\n\r\ndone`,
      breakOff: BREAKS.closed,
    });
    assert.equal(called.isErr() && called.error.fault, "broken");
  });
}

for (const [status, body] of [["204 No Content", ""], ["200 OK", "done"]]) {
  test(`an answer that marks its end is whole: ${status}`, async (context) => {
    const length = body === "" ? "" : "Content-Length: 4\r\n";
    const called = await callRaw(context, {
      text: `HTTP/1.1 ${status}\r\n${length}\r\n${body}`,
      breakOff: BREAKS.closed,
    });
    const answer = called._unsafeUnwrap();
    assert.equal(Buffer.from(answer.body).toString(), body);
  });
}
