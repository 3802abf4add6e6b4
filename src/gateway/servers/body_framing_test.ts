/** Tests of requests' bodies on their way to a backend server. */
import assert from "node:assert/strict";
import { Agent, createServer, request } from "node:http";
import { type AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { serverOf } from "../../decision/manifest_fixture.ts";
import {
  API_HOST,
  LOOKUP_ROUTE,
  startGateway,
  type TestGateway,
  untilReady,
} from "../gateway_fixture.ts";
import { LOOPBACK_HOST } from "../../model/loopback_fixture.ts";

const METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
const BODY = "GET /lookups/smuggled HTTP/1.1\r\ntest-id: smuggled\r\n\r\n";
const FRAMINGS = ["none", "length", "chunks"] as const;

interface Received {
  readonly method: string | undefined;
  readonly url: string | undefined;
  readonly body: string;
}

interface Site {
  readonly vm: TestGateway;
  readonly received: Received[];
}

/** Starts a VM and a server that records what it runs, on kept connections. */
async function startSite(context: TestContext): Promise<Site> {
  const received: Received[] = [];
  const http = createServer((incoming, response) => {
    let body = "";
    incoming.on("data", (chunk) => body += String(chunk));
    incoming.on("end", () => {
      received.push({ method: incoming.method, url: incoming.url, body });
      response.writeHead(200, {
        "test-id": String(incoming.headers["test-id"]),
        "test-signature": "signed",
        "content-length": "0",
      }).end();
    });
  });
  await new Promise<void>((resolve) => http.listen(0, LOOPBACK_HOST, resolve));
  const { port } = http.address() as AddressInfo;
  const vm = await startGateway({ manifest: { routes: [LOOKUP_ROUTE] } });
  const server = serverOf("a", { address: `${LOOPBACK_HOST}:${port}` });
  vm.servers.put(server.id, server);
  context.after(async () => {
    await vm.gateway.stop();
    http.close();
    http.closeAllConnections();
  });
  await untilReady(vm);
  return { vm, received };
}

function send(
  vm: TestGateway,
  { method, framing, agent, isRelayed }: {
    readonly method: string;
    readonly framing: typeof FRAMINGS[number];
    readonly agent: Agent;
    readonly isRelayed: boolean;
  },
): Promise<number | undefined> {
  return new Promise((resolve, reject) => {
    const sent = request(`http://${vm.callerAddress}/lookups/a`, {
      method,
      agent,
      headers: {
        host: API_HOST,
        "test-id": "one",
        "test-key": "a-key",
        ...isRelayed ? { "test-relayed": "1" } : {},
        ...framing === "length"
          ? { "content-length": String(BODY.length) }
          : {},
        ...framing === "chunks" ? { "transfer-encoding": "chunked" } : {},
      },
    });
    sent.on("error", reject);
    sent.on("response", (response) => {
      response.resume().on("end", () => resolve(response.statusCode));
    });
    sent.end(framing === "none" ? undefined : BODY);
  });
}

// Guards against UNASKED: a body without framing, which a server takes for the
// next request of the connection.
test("every method's body reaches the server whole and framed", async (context) => {
  const { vm, received } = await startSite(context);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  context.after(() => agent.destroy());
  for (const isRelayed of [false, true]) {
    for (const method of METHODS) {
      for (const framing of FRAMINGS) {
        received.length = 0;
        const one = { method, framing, agent, isRelayed };
        assert.equal(await send(vm, one), 200);
        const body = framing === "none" ? "" : BODY;
        const expected = [{ method, url: "/lookups/a", body }];
        assert.deepEqual(received, expected, `${method} ${framing}`);
      }
    }
  }
});
