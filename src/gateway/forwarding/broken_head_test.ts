/** Tests of servers that break off inside the head of an answer. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { BackendExchange } from "../servers/backend_exchange.ts";
import { eventsOf } from "../servers/backend_fixture.ts";
import {
  answerHeadOf,
  type RawAnswer,
  type RawServer,
  startRawServer,
} from "../servers/raw_server_fixture.ts";
import { startCutOff } from "../cut_off_fixture.ts";
import {
  call,
  type CallerAnswer,
  type CallOptions,
  LOOKUP_ROUTE,
  REGISTER_ROUTE,
  startGateway,
  untilReady,
} from "../gateway_fixture.ts";

const ENDS = ["end", "resetAndDestroy"] as const;
const INTERIM = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
const STREAM_ROUTE = routeOf({ name: "drafts", routePrefix: "/drafts/" });
const ROUTES = [LOOKUP_ROUTE, REGISTER_ROUTE, STREAM_ROUTE];
/** What the last bytes of a head are when it breaks off. */
const CUTS_BEFORE = [
  "HTTP",
  " OK",
  "\r\ntest-id",
  "-signature",
  "2\r\n\r\n",
  "\r\n\r\n",
  "\n",
];
const LARGE_BODY = "x".repeat(3_000_000);

interface Kind {
  readonly path: string;
  readonly framing: string;
  readonly body: string;
}

const KINDS: readonly Kind[] = [
  { path: "/lookups/a", framing: "content-length: 42", body: "y".repeat(42) },
  {
    path: "/drafts/a",
    framing: "content-type: text/event-stream",
    body: eventsOf(1, 3),
  },
];

/** Answers by the request's head. */
type HeadAnswer = (
  ...parameters: [...Parameters<RawAnswer>, head: string]
) => void;

type End = typeof ENDS[number];

/** Sends the first bytes of an answer and ends the connection. */
function breakOffBefore(
  { framing }: Kind,
  { cut, end }: { readonly cut: string; readonly end: End },
): RawAnswer {
  return (socket, requestId) => {
    const head = answerHeadOf(requestId, framing);
    const length = cut === "\n" ? head.length - 1 : head.indexOf(cut);
    socket.write(head.slice(0, length));
    setTimeout(() => socket[end](), 20);
  };
}

function answerWhole({ framing, body }: Kind): HeadAnswer {
  return (socket, requestId, head) => {
    const lastId = Number(/test-last: (\d+)/i.exec(head)?.[1] ?? 0);
    const sentLength = eventsOf(1, lastId).length;
    socket.end(answerHeadOf(requestId, framing) + body.slice(sentLength));
  };
}

/** Two servers, of which the first one asked breaks off. */
async function startServers(
  context: TestContext,
  { first, others }: { readonly first: RawAnswer; readonly others: HeadAnswer },
): Promise<readonly RawServer[]> {
  let isFirst = true;
  const answer: HeadAnswer = (socket, requestId, head) => {
    const chosen = isFirst ? first : others;
    isFirst = false;
    chosen(socket, requestId, head);
  };
  return await Promise.all(
    ["a", "b"].map((id) => startRawServer(context, { id, answer })),
  );
}

/** Sends a request to a VM of its own. */
async function send(
  servers: readonly RawServer[],
  options: CallOptions,
): Promise<CallerAnswer> {
  const vm = await startGateway({
    manifest: { routes: ROUTES },
    // One for the broken head and one to confirm an unframed end.
    settings: { retryBound: { ratio: 3, slackCount: 0, windowMs: 10_000 } },
  });
  for (const { server } of servers) vm.servers.put(server.id, server);
  await untilReady(vm);
  const answer = await call(vm.callerAddress, options);
  await vm.gateway.stop();
  return answer;
}

function assertNoAnswer({ status, headers }: CallerAnswer, name: string): void {
  assert.equal(status, 502, name);
  assert.equal(headers["test-signature"], undefined, name);
}

// Guards against MIXED: the beginning of a head was taken for an answer.
test("a head that breaks off at any byte is a fault and no answer", async (context) => {
  const head = answerHeadOf("one", "content-length: 0");
  const cuts = [...Array(head.length).keys()];
  await Promise.all(
    cuts.flatMap((length) =>
      ENDS.flatMap((end) =>
        ["", INTERIM].map(async (interim) => {
          const { server } = await startRawServer(context, {
            answer: (socket) => {
              socket.write(interim + head.slice(0, length));
              setTimeout(() => socket[end](), 20);
            },
          });
          const kind = await new Promise<string>((resolve) => {
            new BackendExchange({
              address: server.address,
              method: "GET",
              target: "/",
              headers: [],
              body: Buffer.alloc(0),
              connectTimeoutMs: 2000,
            }, {
              onConnected: () => {},
              onHead: (status) => resolve(`head ${status}`),
              onData: () => resolve("data"),
              onEnd: () => resolve("end"),
              onFault: (fault) => resolve(fault.kind),
              onException: (error) => assert.fail(error),
            });
          });
          assert.equal(kind, "reset", JSON.stringify(head.slice(0, length)));
        })
      )
    ),
  );
});

// Guards against MIXED and ORDER: a request whose server broke off inside the
// head got an empty or short answer that looked complete.
for (const kind of KINDS) {
  test(`a request whose answer's head breaks off goes on at another server: ${kind.path}`, async (context) => {
    await Promise.all(CUTS_BEFORE.flatMap((cut) =>
      ENDS.map(async (end) => {
        const servers = await startServers(context, {
          first: breakOffBefore(kind, { cut, end }),
          others: answerWhole(kind),
        });
        const answer = await send(servers, { path: kind.path });
        assert.equal(answer.body, kind.body, `${cut} ${end}`);
        assert.ok(answer.isComplete);
      })
    ));
  });
}

// Guards against TWICE, REFUSED and MIXED: a request that may run once, whose
// server broke off inside the head, also while its body was on its way.
test("a request that may run once and whose answer's head breaks off gets 502", async (context) => {
  const [kind] = KINDS;
  assert.ok(kind);
  await Promise.all(
    CUTS_BEFORE.flatMap((cut) =>
      ENDS.flatMap((end) =>
        ["", LARGE_BODY].map(async (body) => {
          const answer = breakOffBefore(kind, { cut, end });
          const parts = { first: answer, others: answerWhole(kind) };
          const servers = await startServers(context, parts);
          const got = await send(servers, { path: "/registrations/a", body });
          const name = `${cut} ${end} ${body.length}`;
          assertNoAnswer(got, name);
          const ids = servers.flatMap(({ requestIds }) => requestIds);
          assert.equal(ids.length, 1, name);
        })
      )
    ),
  );
});

// Guards against MIXED and TWICE on the way through another VM.
test("a head that breaks off behind another VM is no answer either", async (context) => {
  const [kind] = KINDS;
  assert.ok(kind);
  const breakOff = breakOffBefore(kind, { cut: "2\r\n\r\n", end: "end" });
  const answer: HeadAnswer = (socket, requestId, head) => {
    const chosen = requestId === "relayed" ? breakOff : answerWhole(kind);
    chosen(socket, requestId, head);
  };
  const servers = await Promise.all(
    ["a", "b", "c"].map((id) => startRawServer(context, { id, answer })),
  );
  const { cutOff } = await startCutOff(context, {
    servers: servers.map(({ server }) => server),
    manifest: { routes: ROUTES },
    others: [{}],
  });
  const path = "/registrations/a";
  const callAs = (id: string): Promise<CallerAnswer> =>
    call(cutOff.callerAddress, { path, headers: { "test-id": id } });
  // The VM finds that it reaches no server.
  await callAs("first");
  assert.equal((await callAs("second")).body, kind.body);
  assertNoAnswer(await callAs("relayed"), "through another VM");
  const ids = servers.flatMap(({ requestIds }) => requestIds);
  assert.equal(ids.filter((id) => id === "relayed").length, 1);
});
