/**
 * Guards against a memory leak under long use: requests with ever new sessions
 * and backend servers that are replaced all the time, where anything retained
 * per request or per server makes the heap grow.
 */
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { serverOf } from "../../decision/manifest_fixture.ts";
import { sendCompleteAnswer } from "../servers/backend_fixture.ts";
import {
  call,
  LOOKUP_ROUTE,
  startGateway,
  type TestGateway,
  untilReady,
} from "../gateway_fixture.ts";
import { LOOPBACK_HOST } from "../../model/loopback_fixture.ts";

const ROUNDS = 10;
const CALLS_PER_ROUND = 800;
const CALLERS = 16;
const SERVERS_PER_ROUND = 20;
/** Part of each session id, long enough for a retained id to fail the test. */
const LONG_NAME = "s".repeat(600);
/** A third of a session id. */
const MAX_BYTES_PER_CALL = 200;

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/** Starts a server that, unlike the fixture's, records no requests. */
async function startServer(context: TestContext): Promise<string> {
  const http: Server = createServer((request, response) => {
    request.resume();
    sendCompleteAnswer(request, response);
  });
  await new Promise<void>((resolve) => http.listen(0, LOOPBACK_HOST, resolve));
  context.after(() => {
    http.close();
    http.closeAllConnections();
  });
  return `${LOOPBACK_HOST}:${(http.address() as AddressInfo).port}`;
}

/** Registers servers with new ids at one address and drops the last round's. */
function replaceServers(
  { servers }: TestGateway,
  round: number,
  address: string,
): void {
  for (let index = 0; index < SERVERS_PER_ROUND; index++) {
    const id = `server-${round}-${index}`;
    servers.put(id, serverOf(id, { address }));
    if (round === 0) continue;
    const key = `server-${round - 1}-${index}`;
    const offset = servers.records.length;
    servers.records.push({ key, value: undefined, offset });
  }
}

async function runRound(address: string, round: number): Promise<void> {
  let next = 0;
  const sendRequests = async (): Promise<void> => {
    while (next < CALLS_PER_ROUND) {
      const id = `request-${round}-${next++}`;
      const session = `${id}-${LONG_NAME}`;
      const headers = { "test-id": id, "test-session": session };
      const path = "/lookups/one";
      const answer = await call(address, { path, method: "GET", headers });
      assert.equal(answer.status, 200);
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, sendRequests));
}

function heapBytes(): number {
  collect();
  return process.memoryUsage().heapUsed;
}

test("ended sessions and removed servers are not retained on the heap", async (context) => {
  const address = await startServer(context);
  const gateway = await startGateway({
    manifest: { routes: [LOOKUP_ROUTE] },
  });
  context.after(() => gateway.gateway.stop());
  replaceServers(gateway, 0, address);
  await untilReady(gateway);
  const used: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    if (round > 0) replaceServers(gateway, round, address);
    await runRound(gateway.callerAddress, round);
    used.push(heapBytes());
  }
  // The first rounds fill caches and compile code.
  const grownBytes = (used.at(-1) ?? 0) - (used[2] ?? 0);
  const callCount = (ROUNDS - 3) * CALLS_PER_ROUND;
  assert.ok(
    grownBytes < callCount * MAX_BYTES_PER_CALL,
    `${Math.round(grownBytes / callCount)} bytes per call: ${used.join(" ")}`,
  );
});
