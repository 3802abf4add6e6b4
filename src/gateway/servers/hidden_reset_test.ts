/** Test of a server's reset that arrives behind unread bytes of its answer. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { call, startGateway, untilReady } from "../gateway_fixture.ts";
import { eventsOf } from "./backend_fixture.ts";
import { answerHeadOf, startRawServer } from "./raw_server_fixture.ts";

const STREAM_COUNT = 20;

// Guards against ORDER and MIXED: libuv reports such a reset as a plain end, by
// which an answer without framing is whole.
test("an unframed stream that its server resets behind unread bytes is cut", async (context) => {
  const { server } = await startRawServer(context, {
    answer: (socket, id) => {
      socket.write(answerHeadOf(id, "connection: close") + eventsOf(1, 3));
      socket.resetAndDestroy();
    },
  });
  const unused = (): Promise<void> => Promise.resolve();
  const backend = { server, requestIds: [], requestHeaders: [] };
  const vm = await startGateway({
    backends: [{ ...backend, close: unused, stopListening: unused }],
    manifest: { routes: [routeOf({ isResumable: false, maxAttempts: 1 })] },
  });
  context.after(() => vm.gateway.stop());
  await untilReady(vm);
  let completeCount = 0;
  for (let index = 0; index < STREAM_COUNT; index++) {
    const answer = await call(vm.callerAddress, {
      headers: { "test-id": `r-${index}` },
    }).catch(() => undefined);
    const isSuccess = answer?.status === 200 && answer.isComplete;
    if (isSuccess) completeCount += 1;
  }
  assert.equal(completeCount, 0);
});
