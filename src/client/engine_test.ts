/** Tests of the engine client against a local HTTP server. */
import assert from "node:assert/strict";
import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, type Socket } from "node:net";
import { test } from "node:test";
import { type AnswerFrame } from "../model/mod.ts";
import {
  EngineClient,
  type EngineError,
  type GenerateCall,
  type GenerateOptions,
} from "./engine.ts";

interface Fixture {
  readonly client: EngineClient;
  readonly call: GenerateCall;
  readonly server: Server;
  readonly connectionCount: () => number;
}

async function withEngine(
  listener: RequestListener,
  use: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  const server = createServer(listener);
  let connectionCount = 0;
  server.on("connection", () => connectionCount += 1);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = new EngineClient({
    connectTimeoutMs: 1000,
    maxConnectionsPerServer: 4,
  });
  try {
    const call = callOf(`127.0.0.1:${port}`);
    await use({
      client,
      call,
      server,
      connectionCount: () => connectionCount,
    });
  } finally {
    await client.close();
    server.closeAllConnections();
    server.close();
  }
}

function callOf(address: string): GenerateCall {
  return {
    address,
    requestId: "r-1",
    attempt: 0,
    version: "tagger@1",
    messages: [],
    maxTokens: 8,
    priority: 0,
    fromIndex: 0,
    prefix: "",
  };
}

function optionsOf(fields: Partial<GenerateOptions> = {}): GenerateOptions {
  return {
    signal: new AbortController().signal,
    firstByteMs: 2000,
    betweenTokensMs: 2000,
    isFresh: false,
    ...fields,
  };
}

function event(index: number, isLast: boolean): string {
  const frame = { requestId: "r-1", attempt: 0, index, text: "é", isLast };
  return `data: ${JSON.stringify(frame)}\n\n`;
}

interface Read {
  readonly frames: AnswerFrame[];
  readonly error: EngineError | undefined;
}

async function read(
  fixture: Fixture,
  options: GenerateOptions = optionsOf(),
): Promise<Read> {
  const frames: AnswerFrame[] = [];
  const stream = await fixture.client.generate(fixture.call, options);
  if (stream.isErr()) return { frames, error: stream.error };
  for await (const frame of stream.value.frames) {
    if (frame.isErr()) return { frames, error: frame.error };
    frames.push(frame.value);
    if (frame.value.isLast) break;
  }
  return { frames, error: undefined };
}

test("frames are parsed however the bytes are split into chunks", async () => {
  const bytes = Buffer.from(event(0, false) + event(1, true));
  await withEngine((_request, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    for (const byte of bytes) response.write(Buffer.of(byte));
    response.end();
  }, async (fixture) => {
    const { frames, error } = await read(fixture);
    assert.equal(error, undefined);
    assert.deepEqual(frames.map((frame) => frame.text), ["é", "é"]);
  });
});

test("a timeout before the first frame ends the attempt", async () => {
  await withEngine(() => {}, async (fixture) => {
    const { error } = await read(fixture, optionsOf({ firstByteMs: 50 }));
    assert.equal(error?.fault, "silent");
  });
});

test("a timeout between frames ends the attempt and its connection", async () => {
  const ports: (number | undefined)[] = [];
  await withEngine((request, response) => {
    ports.push(request.socket.remotePort);
    response.writeHead(200);
    response.write(event(0, false));
  }, async (fixture) => {
    const options = optionsOf({ betweenTokensMs: 50 });
    for (let count = 0; count < 2; count += 1) {
      const { frames, error } = await read(fixture, options);
      assert.equal(error?.fault, "silent");
      assert.equal(frames.length, 1);
    }
    assert.equal(new Set(ports).size, 2);
  });
});

test("a fresh attempt opens a new connection", async () => {
  await withEngine((_request, response) => {
    response.writeHead(200);
    response.end(event(0, true));
  }, async (fixture) => {
    for (let count = 0; count < 3; count += 1) {
      await read(fixture, optionsOf({ isFresh: true }));
    }
    assert.equal(fixture.connectionCount(), 3);
  });
});

test("a timeout on one pooled connection closes the others", async () => {
  const unresponsive = new Set<Socket>();
  await withEngine((request, response) => {
    if (unresponsive.has(request.socket)) return;
    response.writeHead(200).end(event(0, true));
  }, async (fixture) => {
    const sockets = new Set<Socket>();
    fixture.server.on("connection", (socket) => sockets.add(socket));
    await Promise.all([read(fixture), read(fixture), read(fixture)]);
    for (const socket of sockets) unresponsive.add(socket);
    const options = optionsOf({ firstByteMs: 50 });
    assert.equal((await read(fixture, options)).error?.fault, "silent");
    assert.equal((await read(fixture, options)).error, undefined);
  });
});

test("a stream that ends before its last frame is broken", async () => {
  await withEngine((_request, response) => {
    response.writeHead(200);
    response.end(event(0, false));
  }, async (fixture) => {
    assert.equal((await read(fixture)).error?.fault, "broken");
  });
});

test("refusals without execution have distinct faults", async () => {
  const answers = [
    [404, "not_loaded", "not_loaded"],
    [503, "busy", "busy"],
    [410, "leaving", "leaving"],
    [500, "oops", "rejected"],
  ] as const;
  for (const [status, error, fault] of answers) {
    await withEngine((_request, response) => {
      response.writeHead(status);
      response.end(JSON.stringify({ error }));
    }, async (fixture) => {
      assert.equal((await read(fixture)).error?.fault, fault);
    });
  }
});

test("a refused connection proves that nothing was written", async () => {
  await withEngine(() => {}, async (fixture) => {
    await new Promise((resolve) => fixture.server.close(resolve));
    assert.equal((await read(fixture)).error?.fault, "unreachable");
  });
});

test("a cancelled attempt ends immediately and closes its connection", async () => {
  let closed = (): void => {};
  const isClosed = new Promise<void>((resolve) => closed = resolve);
  const controller = new AbortController();
  await withEngine((request, response) => {
    request.socket.on("close", () => closed());
    response.writeHead(200);
    response.write(event(0, false), () => controller.abort());
  }, async (fixture) => {
    const options = optionsOf({ signal: controller.signal });
    assert.equal((await read(fixture, options)).error?.fault, "cancelled");
    await isClosed;
  });
});
