/** Tests of the HTTP interface over sockets: disconnects, malformed paths. */
import assert from "node:assert/strict";
import { request, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "node:test";
import { serve } from "@hono/node-server";
import { silentLogger } from "../model/mod.ts";
import {
  Fixture,
  type Frames,
  framesOf,
  silentUntil,
  WORKSPACE,
} from "./fixture_test.ts";
import { createHttpApp } from "./http_app.ts";

const BODY = { messages: [{ role: "user", content: "hello" }] };

async function withServer(
  fixture: Fixture,
  use: (port: number) => Promise<void>,
): Promise<void> {
  const app = createHttpApp({
    handler: fixture.entry().handler,
    listEntries: () => ({ entries: [], maxAgeMs: 1000 }),
    isReady: () => true,
    adminRoutes: [],
    isOperator: () => false,
    logger: silentLogger,
  });
  const server = serve({
    fetch: app.fetch,
    hostname: "127.0.0.1",
    port: 0,
  }) as Server;
  await new Promise((resolve) => server.once("listening", resolve));
  try {
    await use((server.address() as AddressInfo).port);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

for (const isStreaming of [true, false]) {
  test(`a disconnect cancels the engine's request (stream: ${isStreaming})`, async () => {
    const fixture = new Fixture();
    let stopped = (): void => {};
    const isStopped = new Promise<void>((resolve) => stopped = resolve);
    let started = (): void => {};
    const isStarted = new Promise<void>((resolve) => started = resolve);
    fixture.engines.script = async function* (call, signal): Frames {
      signal.addEventListener("abort", () => stopped());
      for await (const frame of framesOf(call, ["a", "b"])) {
        yield frame;
        started();
        yield* silentUntil(signal);
      }
    };
    await withServer(fixture, async (port) => {
      const outgoing = request({
        port,
        host: "127.0.0.1",
        path: "/v1/chat/completions",
        method: "POST",
        headers: { "goldcrest-workspace": WORKSPACE },
      });
      outgoing.on("error", () => {});
      outgoing.end(JSON.stringify({ ...BODY, stream: isStreaming }));
      await isStarted;
      outgoing.destroy();
      await isStopped;
    });
    assert.equal(fixture.engines.calls.length, 1);
  });
}

test("a malformed path doesn't stop the server", async () => {
  await withServer(new Fixture(), async (port) => {
    const base = `http://127.0.0.1:${port}`;
    const malformed = await fetch(`${base}/v1/services/%ff/x`, {
      method: "GET",
    });
    assert.equal(malformed.status, 400);
    const health = await fetch(`${base}/healthz`);
    assert.equal(health.status, 200);
  });
});
