/** Tests of the framing of complete answers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { eventsOf } from "../servers/backend_fixture.ts";
import {
  callAtOnce,
  chunkOf,
  sendText,
  type ServedText,
  startVm,
  streamOf,
} from "./framed_server_fixture.ts";
import { CALLER_VERSIONS, callRaw } from "./raw_caller_fixture.ts";

const CALLER_COUNT = 60;
const TEXT = "a whole answer";
const PATH = "/lookups/a";
const SERVED: Record<string, ServedText> = {
  length: { lines: [`content-length: ${TEXT.length}`], text: TEXT },
  chunks: {
    lines: ["transfer-encoding: chunked"],
    text: `${chunkOf(TEXT)}0\r\n\r\n`,
  },
  none: { lines: [], text: TEXT },
};
const CONNECTION_LINES = [[], ["Connection: close"], [
  "Connection: keep-alive",
]];

for (const version of CALLER_VERSIONS) {
  for (const [framing, served] of Object.entries(SERVED)) {
    // Guards against MIXED: a length vouches for a body whose end its server did
    // not mark, which may be a part.
    test(`a complete answer states its length if its server marked its end: HTTP/${version}, ${framing}`, async (context) => {
      const { callerAddress } = await startVm(
        context,
        (socket, requestId) => sendText(socket, { requestId, ...served }),
      );
      const answers = await callAtOnce(CALLER_COUNT, (index) => ({
        address: callerAddress,
        version,
        path: PATH,
        headerLines: CONNECTION_LINES[index % CONNECTION_LINES.length] ?? [],
      }));
      for (const { head, body, looksComplete, ending } of answers) {
        assert.deepEqual([body, looksComplete], [TEXT, true]);
        const length = /^content-length: (\d+)\r$/im.exec(head)?.[1];
        assert.equal(length, framing === "none" ? undefined : "14");
        assert.doesNotMatch(head, /^transfer-encoding:/im);
        if (framing === "none") assert.equal(ending, "plain");
        assert.notEqual(ending, "reset");
      }
    });

    test(`the answer to HEAD ends with its head: HTTP/${version}, ${framing}`, async (context) => {
      const { lines = [] } = served;
      const { callerAddress } = await startVm(
        context,
        (socket, requestId) => sendText(socket, { requestId, lines, text: "" }),
      );
      const address = callerAddress;
      const call = { address, version, method: "HEAD", path: PATH };
      const { status, body, looksComplete, ending } = await callRaw(call);
      assert.deepEqual([status, body, looksComplete], [200, "", true]);
      assert.ok(["open", "plain"].includes(ending), ending);
    });
  }

  for (const status of [204, 304]) {
    test(`an answer without a body ends with its head: HTTP/${version}, ${status}`, async (context) => {
      const { callerAddress } = await startVm(
        context,
        (socket, requestId) =>
          sendText(socket, {
            requestId,
            status,
            lines: ["content-length: 0"],
          }),
      );
      const address = callerAddress;
      const answer = await callRaw({ address, version, path: PATH });
      assert.deepEqual([answer.status, answer.body], [status, ""]);
      assert.ok(["open", "plain"].includes(answer.ending), answer.ending);
      assert.doesNotMatch(
        answer.head,
        /^(content-length|transfer-encoding):/im,
      );
    });
  }
}

// Guards against chunks to a caller that does not know them.
test("a stream to a caller of HTTP/1.0 has no chunks, whatever it accepts", async (context) => {
  const stream = { framing: "chunks", eventCount: 3, pauseMs: 1 } as const;
  const { callerAddress } = await startVm(context, streamOf(stream));
  const { head, body, ending } = await callRaw({
    address: callerAddress,
    version: "1.0",
    headerLines: ["TE: chunked"],
  });
  assert.doesNotMatch(head, /^transfer-encoding:/im);
  assert.deepEqual([body, ending], [eventsOf(1, 3), "plain"]);
});

for (const version of CALLER_VERSIONS) {
  test(`the answer to bytes that are no request states its length: HTTP/${version}`, async (context) => {
    const { callerAddress } = await startVm(
      context,
      (socket, requestId) => sendText(socket, { requestId }),
    );
    const call = { address: callerAddress, version, path: "/not a path" };
    const { status, head, looksComplete, ending } = await callRaw(call);
    assert.deepEqual([status, looksComplete, ending], [400, true, "plain"]);
    assert.match(head, /^content-length: 0\r$/im);
  });
}
