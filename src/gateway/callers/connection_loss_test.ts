/** Tests that the loss of requests with their connection is told with its cause. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { sendCompleteAnswer } from "../servers/backend_fixture.ts";
import {
  answerLate,
  connectCaller,
  headOf,
  lossCauses,
  openCount,
  requestOf,
  setUp,
  type TestCaller,
  type TestSite,
} from "./caller_connection_fixture.ts";
import { until } from "../until_fixture.ts";

interface LossCase {
  readonly cause: string;
  /** What the caller sends first; one request stays open. */
  readonly text: string;
  readonly close: (caller: TestCaller, site: TestSite) => unknown;
}

const CASES: readonly LossCase[] = [
  {
    cause: "caller_end",
    text: requestOf("a"),
    close: ({ socket }) => socket.end(),
  },
  {
    cause: "caller_reset",
    text: requestOf("a"),
    close: ({ socket }) => socket.resetAndDestroy(),
  },
  {
    cause: "unreadable",
    text: headOf("a", 0)
      .replace("Content-Length: 0", "Transfer-Encoding: chunked"),
    close: ({ socket }) => socket.write("no length\r\n"),
  },
  {
    cause: "stop",
    text: headOf("a", 5),
    close: (_caller, { gateway }) => gateway.gateway.stop(),
  },
];

for (const { cause, text, close } of CASES) {
  // Guards against lost requests of which no line tells what closed them.
  test(`a connection that closes with an open request is told: ${cause}`, async (context) => {
    const site = await setUp(context, answerLate);
    const caller = connectCaller(site);
    caller.socket.write(text);
    await until(() => openCount(site) === 1);
    await close(caller, site);
    await until(() => lossCauses(site).length > 0);
    assert.deepEqual(lossCauses(site), [cause]);
  });
}

test("connections that close after their answers are no loss", async (context) => {
  const site = await setUp(context, sendCompleteAnswer);
  const callers = [connectCaller(site), connectCaller(site)];
  for (const { socket } of callers) socket.write(requestOf("a"));
  await until(() => callers.every(({ text }) => text.endsWith("whole")));
  callers[0]?.socket.destroy();
  await site.gateway.gateway.stop();
  await until(() => callers.every(({ isClosed }) => isClosed));
  assert.deepEqual(lossCauses(site), []);
});
