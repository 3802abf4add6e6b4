/** Tests of streams whose server is silent for a time and goes on. */
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { test } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { call, startGateway, untilReady } from "../gateway_fixture.ts";
import {
  type BackendHandler,
  beginStream,
  eventOf,
  eventsOf,
  startBackend,
} from "../servers/backend_fixture.ts";

const GAP_TARGET_MS = 300;
const SILENT_MS = 2000;

// Guards against LOST: a stream left its server for its silence, with the last
// retry of the VM, and was cut as the next server could not take it.
test("a stream whose silent server is left for one that refuses is whole", async (context) => {
  let arrivalCount = 0;
  const answer: BackendHandler = async (request, response) => {
    arrivalCount += 1;
    if (arrivalCount > 1) {
      response.writeHead(503, { "test-not-run": "1" });
      return response.end();
    }
    beginStream(request, response);
    response.write(eventOf(1));
    await delay(SILENT_MS);
    response.end(eventsOf(2, 3));
  };
  const backends = await Promise.all(
    ["a", "b"].map((id) => startBackend(id, answer)),
  );
  const { gateway, ...rest } = await startGateway({
    backends,
    manifest: { routes: [routeOf({ gapTargetMs: GAP_TARGET_MS })] },
    settings: { retryBound: { ratio: 0, slackCount: 1, windowMs: 10_000 } },
  });
  context.after(async () => {
    await gateway.stop();
    await Promise.all(backends.map((backend) => backend.close()));
  });
  await untilReady({ gateway, ...rest });
  const { isComplete, body } = await call(gateway.callerAddress, {});
  assert.deepEqual({ isComplete, body }, {
    isComplete: true,
    body: eventsOf(1, 3),
  });
});
