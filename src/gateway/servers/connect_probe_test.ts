/** Tests of whether an address accepts connections. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { LOOPBACK_HOST } from "../../model/loopback_fixture.ts";
import { connects } from "./connect_probe.ts";

const TIMEOUT_MS = 400;
/** Longer than the timeout. */
const BLOCKED_MS = 500;
const ROUND_COUNT = 5;

/** Starts a server and returns its address. */
async function startServer(
  context: TestContext,
  onConnection: (socket: Socket) => void,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    onConnection(socket);
  });
  server.listen(0, LOOPBACK_HOST);
  await once(server, "listening");
  context.after(() => server.close());
  return `${LOOPBACK_HOST}:${(server.address() as AddressInfo).port}`;
}

/** Blocks the event loop as other work of a busy process does. */
function block(): void {
  const endMs = performance.now() + BLOCKED_MS;
  while (performance.now() < endMs);
}

/** The results of several probes, each followed by `work`. */
async function probe(
  address: string,
  work = (): void => {},
): Promise<boolean[]> {
  const results: boolean[] = [];
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    const result = connects(address, { timeoutMs: TIMEOUT_MS });
    work();
    results.push(await result);
  }
  return results;
}

test("an address without a server accepts no connections", async () => {
  const server = createServer().listen(0, LOOPBACK_HOST);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  const results = await probe(`${LOOPBACK_HOST}:${port}`);
  assert.deepEqual(results, Array(ROUND_COUNT).fill(false));
});

// Guards against LOST: a whole answer without a length was taken for one of a
// server that had ended, as the server was at its limit of connections.
test("a server that resets connections beyond its limit accepts connections", async (context) => {
  const address = await startServer(
    context,
    (socket) => void socket.resetAndDestroy(),
  );
  const results = await probe(address);
  assert.deepEqual(results, Array(ROUND_COUNT).fill(true));
});

// Guards against LOST: the same, as this process saw the connection late.
test("a server accepts connections while this process is busy", async (context) => {
  const address = await startServer(context, () => {});
  const results = await probe(address, block);
  assert.deepEqual(results, Array(ROUND_COUNT).fill(true));
});
