/** Tests of exchanges with a backend server that cannot begin. */
import assert from "node:assert/strict";
import { test } from "node:test";
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
