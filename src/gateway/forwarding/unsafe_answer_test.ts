/** Tests of answers to requests that may run once only. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { type ServiceRoute } from "../../model/mod.ts";
import {
  type BackendHandler,
  beginStream,
  eventsOf,
  startBackend,
} from "../servers/backend_fixture.ts";
import { answerHeadOf, startRawServer } from "../servers/raw_server_fixture.ts";
import {
  call,
  type CallerAnswer,
  REGISTER_ROUTE,
  startGateway,
  untilReady,
} from "../gateway_fixture.ts";

interface Outcome {
  readonly answer: CallerAnswer;
  readonly arrivalCount: number;
}

async function send(
  context: TestContext,
  { route, handler, path }: {
    readonly route: ServiceRoute;
    readonly handler: BackendHandler;
    readonly path: string;
  },
): Promise<Outcome> {
  const backends = await Promise.all(
    ["a", "b"].map((id) => startBackend(id, handler)),
  );
  const vm = await startGateway({ backends, manifest: { routes: [route] } });
  context.after(async () => {
    await vm.gateway.stop();
    await Promise.all(backends.map((backend) => backend.close()));
  });
  await untilReady(vm);
  const headers = { "test-model": "any" };
  const answer = await call(vm.callerAddress, { path, headers });
  const arrivalCount = backends.reduce(
    (sum, { requestIds }) => sum + requestIds.length,
    0,
  );
  return { answer, arrivalCount };
}

// Guards against TWICE: the answer of a small model was dropped after it had run,
// and the request ran again.
test("a low confidence repeats no stream that may not be resumed", async (context) => {
  const { answer, arrivalCount } = await send(context, {
    route: routeOf({ models: ["small", "large"], isResumable: false }),
    path: "/drafts/one",
    handler: (request, response) => {
      beginStream(request, response, { "test-confidence": "5" });
      response.end(eventsOf(1, 3));
    },
  });
  assert.equal(arrivalCount, 1);
  assert.equal(answer.body, eventsOf(1, 3));
});

// Guards against REFUSED: a server's status that callers take for a promise, of
// a request that may have run.
for (const status of [408, 429, 503]) {
  test(`a server's ${status} without the mark of a refusal promises callers nothing`, async (context) => {
    const { answer, arrivalCount } = await send(context, {
      route: REGISTER_ROUTE,
      path: "/registrations/a",
      handler: (request, response) => {
        response.writeHead(status, {
          "test-id": String(request.headers["test-id"]),
          "test-signature": "signed",
          "content-length": "0",
        }).end();
      },
    });
    assert.equal(arrivalCount, 1);
    assert.equal(answer.status, 502);
    assert.equal(answer.headers["test-signature"], undefined);
  });
}

// Guards against LOST: the answer of a request that had run was dropped for the
// bytes behind it.
test("a complete answer with further bytes behind it reaches its caller", async (context) => {
  const { server } = await startRawServer(context, {
    answer: (socket, requestId) =>
      socket.write(answerHeadOf(requestId, "content-length: 5") + "wholenoise"),
  });
  const vm = await startGateway({ manifest: { routes: [REGISTER_ROUTE] } });
  vm.servers.put(server.id, server);
  context.after(() => vm.gateway.stop());
  await untilReady(vm);
  const answer = await call(vm.callerAddress, { path: "/registrations/a" });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, "whole");
});
