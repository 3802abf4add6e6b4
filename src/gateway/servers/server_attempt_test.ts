/** Tests of which answers of a backend server count as its own. */
import assert from "node:assert/strict";
import { type ServerResponse } from "node:http";
import { test, type TestContext } from "node:test";
import { type BackendHandler, startBackend } from "./backend_fixture.ts";
import { forwardContextOf } from "../forwarding/forward_context_fixture.ts";
import { testProtocol } from "../gateway_fixture.ts";
import { type AttemptOutcome } from "../forwarding/attempt_outcome.ts";
import { ServerAttempt } from "./server_attempt.ts";

const REQUEST_ID = "request-1";

/** Sends one request to a server with this handler. */
async function attempt(
  test: TestContext,
  handler: BackendHandler,
): Promise<AttemptOutcome> {
  const backend = await startBackend("server-1", handler);
  test.after(() => backend.close());
  const caller = testProtocol.readRequest({
    method: "POST",
    target: "/drafts/one",
    rawHeaders: ["test-id", REQUEST_ID],
  });
  assert.ok(typeof caller !== "string");
  const { context } = forwardContextOf([backend.server]);
  return await new Promise((resolve) => {
    new ServerAttempt({
      memory: context.answerMemory.open("drafts"),
      onWait: () => false,
      context,
      server: backend.server,
      route: "drafts",
      digest: "digest",
      body: Buffer.alloc(0),
      request: {
        caller,
        backend: backend.server,
        workspace: undefined,
        deadlineLeftMs: 2000,
        model: undefined,
        lastEventId: undefined,
        priority: 0,
      },
      isStreaming: false,
      onHead: () => "relay",
      onData: () => {},
      onOutcome: resolve,
      onException: assert.fail,
    });
  });
}

function answer(
  response: ServerResponse,
  status: number,
  headers: Record<string, string>,
): void {
  response.writeHead(status, { "content-length": "5", ...headers });
  response.end("whole");
}

test("a success with the request's id and a signature is an answer", async (context) => {
  const outcome = await attempt(
    context,
    (_, response) =>
      answer(response, 200, { "test-id": REQUEST_ID, "test-signature": "s" }),
  );
  assert.equal(outcome.kind, "answer");
});

test("a success without a signature is not passed on", async (context) => {
  const outcome = await attempt(
    context,
    (_, response) => answer(response, 200, { "test-id": REQUEST_ID }),
  );
  assert.deepEqual(outcome, {
    kind: "fault",
    isUnsent: false,
    cause: "unsigned_answer",
  });
});

test("a success that names another request, or none, is not passed on", async (context) => {
  for (const headers of [{ "test-id": "request-2" }, {}]) {
    const signed = { ...headers, "test-signature": "s" };
    const outcome = await attempt(
      context,
      (_, response) => answer(response, 200, signed),
    );
    assert.equal(outcome.kind === "fault" && outcome.cause, "foreign_answer");
  }
});

test("a server's statement that it has not run the request is believed", async (context) => {
  const outcome = await attempt(
    context,
    (_, response) =>
      answer(response, 503, { "test-id": REQUEST_ID, "test-not-run": "1" }),
  );
  assert.deepEqual(outcome, { kind: "not_run" });
});

// Guards against LOST: a status that cannot be passed on ends the VM's process,
// and with it every open request.
test("an answer whose status is not from 200 to 599 is malformed", async (context) => {
  for (const status of ["000", "099", "101", "600", "999"]) {
    const head = `HTTP/1.1 ${status} X\r\ntest-id: ${REQUEST_ID}\r\n` +
      "test-signature: s\r\ncontent-length: 5\r\n\r\n";
    const outcome = await attempt(
      context,
      (_, response) => response.socket?.end(`${head}whole`),
    );
    assert.deepEqual(
      outcome,
      { kind: "fault", isUnsent: false, cause: "malformed" },
      status,
    );
  }
});
