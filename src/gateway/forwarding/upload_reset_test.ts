/** Tests of servers that answer a long upload at once and read no further. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import {
  call,
  type CallerAnswer,
  LOOKUP_ROUTE,
  REGISTER_ROUTE,
  startGateway,
  type TestGateway,
  untilReady,
} from "../gateway_fixture.ts";
import {
  answerHeadOf,
  type RawAnswer,
  startRawServer,
} from "../servers/raw_server_fixture.ts";

const UPLOAD = "x".repeat(900_000);
const PART = "id: 1\ndata: a part\n\n";
const RESETS_AFTER_MS = [0, 5, 40];
const SERVER_IDS = ["a", "b", "c"];
const ROUTES = [
  routeOf({ isResumable: false, maxAttempts: 1 }),
  LOOKUP_ROUTE,
  REGISTER_ROUTE,
];
const PATHS = {
  "a stream": "/drafts/a",
  "a request that may run again": "/lookups/a",
  "a request that may run once": "/registrations/a",
};

async function startVm(
  context: TestContext,
  answer: RawAnswer,
): Promise<TestGateway> {
  const vm = await startGateway({ manifest: { routes: ROUTES } });
  for (const id of SERVER_IDS) {
    const { server } = await startRawServer(context, { id, answer });
    vm.servers.put(id, server);
  }
  context.after(() => vm.gateway.stop());
  await untilReady(vm);
  return vm;
}

async function upload(
  { callerAddress }: TestGateway,
  { path, body }: { readonly path: string; readonly body: string },
): Promise<CallerAnswer | undefined> {
  return await call(callerAddress, { path, body }).catch(() => undefined);
}

for (const [kind, path] of Object.entries(PATHS)) {
  for (const afterMs of RESETS_AFTER_MS) {
    for (const hasEnd of [true, false]) {
      const how = hasEnd ? "ends its side and resets" : "resets";
      // Guards against MIXED: a part of an answer without a length was whole, as
      // the server's reset came while the upload was on its way, or just after.
      test(`an answer to an upload is a part where its server ${how} after ${afterMs} ms: ${kind}`, async (context) => {
        const vm = await startVm(context, (socket, requestId) => {
          socket.pause();
          socket.write(answerHeadOf(requestId) + PART);
          if (hasEnd) socket.end();
          setTimeout(() => socket.resetAndDestroy(), afterMs);
        });
        const answer = await upload(vm, { path, body: UPLOAD });
        assert.ok(answer?.status !== 200 || !answer.isComplete);
      });
    }
  }

  test(`a whole answer to an upload that ends with its connection is whole: ${kind}`, async (context) => {
    const vm = await startVm(context, (socket, requestId) => {
      let readBytes = 0;
      socket.write(answerHeadOf(requestId));
      socket.on("data", ({ length }) => {
        readBytes += length;
        if (readBytes < UPLOAD.length * 0.9) return;
        socket.removeAllListeners("data");
        socket.resume();
        socket.end(PART);
      });
    });
    const answer = await upload(vm, { path, body: UPLOAD });
    assert.deepEqual(
      [answer?.status, answer?.body, answer?.isComplete],
      [200, PART, true],
    );
  });
}
