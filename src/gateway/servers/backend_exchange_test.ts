/** Tests of exchanges with backend servers that cannot begin or break off. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { answerHeadOf, startRawServer } from "./raw_server_fixture.ts";
import { eventsOf } from "./backend_fixture.ts";
import {
  type BackendCall,
  BackendExchange,
  type ExchangeFault,
} from "./backend_exchange.ts";

const CALL: BackendCall = {
  address: "127.0.0.1:9",
  method: "POST",
  target: "/drafts/one",
  headers: [],
  body: Buffer.alloc(0),
  connectTimeoutMs: 400,
};

/** Returns the exchange's faults, at its creation and half a second later. */
async function faultsOf(fields: Partial<BackendCall>): Promise<{
  readonly atOnce: readonly ExchangeFault[];
  readonly later: readonly ExchangeFault[];
}> {
  const faults: ExchangeFault[] = [];
  const exchange = new BackendExchange({ ...CALL, ...fields }, {
    onConnected: () => {},
    onHead: () => {},
    onData: () => {},
    onEnd: () => {},
    onFault: (fault) => faults.push(fault),
    onException: (error) => assert.fail(error),
  });
  const atOnce = [...faults];
  exchange.pause();
  exchange.resume();
  assert.ok(exchange.isUnsent);
  await new Promise((resolve) => setTimeout(resolve, 500));
  exchange.cancel();
  return { atOnce, later: faults };
}

// Guards against LOST: a request that HTTP cannot carry ends the VM's process,
// and with it every open request.
test("a request that cannot be sent is a fault and ends no VM", async () => {
  for (
    const fields of [
      { address: "127.0.0.1:99999" },
      { headers: ["X-Tenant", "\u6771\u4eac"] },
      { headers: ["X-Tenant", "a\nb"] },
      { target: "/drafts/\u6771" },
    ]
  ) {
    const { atOnce, later } = await faultsOf(fields);
    const name = JSON.stringify(fields);
    assert.deepEqual(atOnce, [], name);
    assert.deepEqual(
      later.map(({ kind, isUnsent }) => [kind, isUnsent]),
      [["unsendable", true]],
      name,
    );
  }
});

const EXCHANGE_COUNT = 300;

/** How exchanges end whose server closes or resets behind an unframed part. */
async function endsOf(
  context: TestContext,
  end: "end" | "resetAndDestroy",
): Promise<Record<string, number>> {
  const { server } = await startRawServer(context, {
    id: "one",
    answer: (socket, requestId) => {
      socket.write(answerHeadOf(requestId) + eventsOf(1, 3));
      socket[end]();
    },
  });
  const ends: Record<string, number> = {};
  const exchanges = Array.from(
    { length: EXCHANGE_COUNT },
    () =>
      new Promise<string>((resolve) => {
        new BackendExchange({ ...CALL, address: server.address }, {
          onConnected: () => {},
          onHead: () => {},
          onData: () => {},
          onEnd: () => resolve("end"),
          onFault: ({ kind }) => resolve(kind),
          onException: (error) => assert.fail(error),
        });
      }),
  );
  for (const end of await Promise.all(exchanges)) {
    ends[end] = (ends[end] ?? 0) + 1;
  }
  return ends;
}

// Guards against ORDER and MIXED: Node shows a reset behind bytes that it has not
// read as a plain end, which completes an answer without framing.
test("a server that resets an unframed answer has not completed it", async (context) => {
  assert.deepEqual(await endsOf(context, "resetAndDestroy"), {
    reset: EXCHANGE_COUNT,
  });
});

test("a server that closes an unframed answer has completed it", async (context) => {
  assert.deepEqual(await endsOf(context, "end"), { end: EXCHANGE_COUNT });
});
