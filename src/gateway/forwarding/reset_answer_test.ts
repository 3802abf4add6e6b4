/**
 * Tests of answers without a length or chunks whose server resets the
 * connection right behind their last bytes, before they have been read.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { assertCut, startVm } from "../callers/framed_server_fixture.ts";
import {
  CALLER_VERSIONS,
  callRaw,
  type RawAnswer,
  type RawCall,
} from "../callers/raw_caller_fixture.ts";
import { eventOf, eventsOf } from "../servers/backend_fixture.ts";
import { answerHeadOf } from "../servers/raw_server_fixture.ts";

/** Lets the beginning be read before the end. */
const END_DELAY_MS = 20;
const EVENT_COUNT = 6;

/** Sends one request to servers that reset behind the answer's second part. */
async function send(
  context: TestContext,
  { parts, call }: {
    readonly parts: readonly [string, string];
    readonly call: Omit<RawCall, "address">;
  },
): Promise<RawAnswer> {
  const vm = await startVm(context, (socket, requestId) => {
    socket.write(answerHeadOf(requestId) + parts[0]);
    setTimeout(() => {
      socket.write(parts[1]);
      socket.resetAndDestroy();
    }, END_DELAY_MS);
  });
  return await callRaw({ address: vm.callerAddress, ...call });
}

for (const version of CALLER_VERSIONS) {
  // Guards against ORDER: a reset that came before the last bytes were read was
  // taken for the end of the stream.
  test(`a stream that is reset behind unread events is cut: HTTP/${version}`, async (context) => {
    const answer = await send(context, {
      parts: [eventsOf(1, 2), eventOf(3)],
      call: { version },
    });
    assertCut([answer], EVENT_COUNT);
  });
}

// Guards against MIXED: the same of an answer that is no stream.
test("an answer that is reset behind unread bytes is a failure", async (context) => {
  const { status } = await send(context, {
    parts: ["a ", "part"],
    call: { version: "1.1", method: "GET", path: "/lookups/a" },
  });
  assert.equal(status, 502);
});
