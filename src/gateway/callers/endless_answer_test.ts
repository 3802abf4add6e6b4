/** Tests of backend servers that send bytes without end. */
import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { routeOf, serverOf } from "../../decision/manifest_fixture.ts";
import {
  beginStream,
  eventsOf,
  sendCompleteAnswer,
  startBackend,
} from "../servers/backend_fixture.ts";
import {
  call,
  type CallerAnswer,
  LOOKUP_ROUTE,
  startGateway,
  untilReady,
} from "../gateway_fixture.ts";
import { MemoryTopic } from "../store/memory_topic_fixture.ts";
import { until } from "../until_fixture.ts";
import { LOOPBACK_HOST } from "../../model/loopback_fixture.ts";

const MIB = 1024 * 1024;
/** Callers at once, as when a busy server turns bad. */
const CALLER_COUNT = 24;
/** What the answers of all callers may take of the VM's memory. */
const MEMORY_BYTES = 64 * MIB;
const DRAFTS_ROUTE = routeOf({ maxAttempts: 3, timeoutMs: 3000 });

interface EndlessServer {
  readonly address: string;
  readonly openCount: () => number;
  readonly sentBytes: () => number;
}

/** Starts a server that sends `first`, then `rest` until it is closed. */
async function startEndless(
  context: TestContext,
  parts: { readonly first: (id: string) => string; readonly rest: string },
): Promise<EndlessServer> {
  const open = new Set<Socket>();
  let sentBytes = 0;
  const rest = Buffer.from(
    parts.rest.repeat(Math.ceil(4096 / parts.rest.length)),
  );
  const server = createServer((socket) => {
    open.add(socket);
    socket.on("close", () => open.delete(socket));
    socket.on("error", () => {});
    socket.once("data", (head) => {
      const id = /test-id: (\S+)/i.exec(head.toString())?.[1] ?? "";
      socket.write(parts.first(id));
      const send = (): void => {
        while (!socket.destroyed) {
          sentBytes += rest.length;
          if (!socket.write(rest)) return void socket.once("drain", send);
        }
      };
      send();
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, LOOPBACK_HOST, resolve)
  );
  context.after(() => {
    for (const socket of open) socket.destroy();
    server.close();
  });
  const address = server.address();
  assert.ok(typeof address === "object" && address !== null);
  return {
    address: `${LOOPBACK_HOST}:${address.port}`,
    openCount: () => open.size,
    sentBytes: () => sentBytes,
  };
}

const HEAD = (id: string): string =>
  `HTTP/1.1 200 OK\r\ntest-id: ${id}\r\ntest-signature: signed\r\n`;

const CASES: readonly {
  readonly title: string;
  readonly path: string;
  readonly first: (id: string) => string;
  readonly rest: string;
}[] = [
  {
    title: "a head of endless headers",
    path: "/lookups/a",
    first: HEAD,
    rest: "x-more: and more\r\n",
  },
  {
    title: "an endless first line",
    path: "/lookups/a",
    first: () => "HTTP/1.1 200 ",
    rest: "fine ",
  },
  {
    title: "endless interim answers",
    path: "/lookups/a",
    first: () => "",
    rest: "HTTP/1.1 102 Processing\r\n\r\n",
  },
  {
    title: "bytes that are no answer",
    path: "/lookups/a",
    first: () => "",
    rest: "noise ",
  },
  {
    title: "an endless body without a length",
    path: "/lookups/a",
    first: (id) => `${HEAD(id)}\r\n`,
    rest: "more ",
  },
  {
    title: "endless chunks",
    path: "/lookups/a",
    first: (id) => `${HEAD(id)}transfer-encoding: chunked\r\n\r\n`,
    rest: "5\r\nmore \r\n",
  },
  {
    title: "an endless event",
    path: "/drafts/a",
    first: (id) => `${HEAD(id)}\r\nid: 1\n`,
    rest: "data: more\n",
  },
  {
    title: "a stream of endless blank lines",
    path: "/drafts/a",
    first: (id) => `${HEAD(id)}\r\n`,
    rest: "\n\n",
  },
];

for (const { title, path, first, rest } of CASES) {
  test(`requests go from a server to another: ${title}`, async (context) => {
    const endless = await startEndless(context, { first, rest });
    const sound = await startBackend("sound", (request, response) => {
      if (path.startsWith("/lookups/")) {
        return sendCompleteAnswer(request, response);
      }
      beginStream(request, response);
      response.end(eventsOf(1, 3));
    });
    const servers = new MemoryTopic();
    servers.put(
      "endless",
      serverOf("endless", { address: endless.address }),
    );
    const gateway = await startGateway({
      servers,
      backends: [sound],
      manifest: { routes: [LOOKUP_ROUTE, DRAFTS_ROUTE] },
      settings: { memoryBytes: MEMORY_BYTES },
    });
    context.after(async () => {
      await gateway.gateway.stop();
      await sound.close();
    });
    await untilReady(gateway);
    const rssBefore = process.memoryUsage().rss;
    const calls: Promise<CallerAnswer>[] = [];
    for (let count = 0; count < CALLER_COUNT; count++) {
      calls.push(
        call(gateway.callerAddress, {
          path,
          headers: { "test-id": `r-${count}`, "test-deadline": "3000" },
        }),
      );
    }
    const answers = await Promise.all(calls);
    const expected = path.startsWith("/lookups/") ? "whole" : eventsOf(1, 3);
    for (const { status, body } of answers) {
      assert.equal(status, 200);
      assert.equal(body, expected);
    }
    assert.ok(endless.sentBytes() > 0, "the endless server was asked");
    await until(() => endless.openCount() === 0);
    const grownBytes = process.memoryUsage().rss - rssBefore;
    assert.ok(grownBytes < MEMORY_BYTES, `${grownBytes / MIB} MiB more`);
  });
}
