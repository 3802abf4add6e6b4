/** Tests of exceptions in the handling of one request. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  sendCompleteAnswer,
  startBackend,
} from "../servers/backend_fixture.ts";
import {
  call,
  LOOKUP_ROUTE,
  REGISTER_ROUTE,
  startGateway,
  testProtocol,
  untilReady,
} from "../gateway_fixture.ts";
import { type GatewayProtocol } from "../protocol.ts";

const EXPLOSIVE = "explosive";
/** Where the exception is thrown, and the status of its request. */
const PLACES = [["head", 502], ["request", 503], ["admission", 503]] as const;

/** A protocol that throws where one request or its answer is read or written. */
function throwingAt(place: typeof PLACES[number][0]): GatewayProtocol {
  return {
    ...testProtocol,
    readRequest: (raw) => {
      if (place === "admission" && raw.rawHeaders.includes(EXPLOSIVE)) {
        throw new TypeError("no such caller");
      }
      return testProtocol.readRequest(raw);
    },
    readAnswer: (status, rawHeaders) => {
      if (place === "head" && rawHeaders.includes(EXPLOSIVE)) {
        throw new TypeError("no such answer");
      }
      return testProtocol.readAnswer(status, rawHeaders);
    },
    writeRequest: (request) => {
      if (place === "request" && request.caller.id === EXPLOSIVE) {
        throw new TypeError("no such request");
      }
      return testProtocol.writeRequest(request);
    },
  };
}

// Guards against ended processes: an exception in the handling of one request
// lost all open requests of the VM.
for (const [place, status] of PLACES) {
  test(`an exception ends its request alone: ${place}`, async (context) => {
    const backend = await startBackend("a", (request, response) => {
      setTimeout(() => sendCompleteAnswer(request, response), 100);
    });
    const vm = await startGateway({
      backends: [backend],
      manifest: { routes: [LOOKUP_ROUTE, REGISTER_ROUTE] },
      protocol: throwingAt(place),
    });
    context.after(async () => {
      await vm.gateway.stop();
      await backend.close();
    });
    await untilReady(vm);
    const other = call(vm.callerAddress, { path: "/registrations/a" });
    const headers = { "test-id": EXPLOSIVE };
    const path = "/registrations/b";
    const failed = await call(vm.callerAddress, { path, headers });
    assert.equal(failed.status, status);
    assert.equal((await other).status, 200);
    const next = await call(vm.callerAddress, { path: "/lookups/a" });
    assert.equal(next.status, 200);
    assert.match(vm.gateway.metricsText(), /request_exceptions\{.*\} 1/);
  });
}
