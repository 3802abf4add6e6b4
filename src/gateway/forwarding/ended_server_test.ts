/**
 * Tests of answers that may run once and end with their connection: the end of
 * a server's process closes connections as well.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { applyRoster, EMPTY_ROSTER, type Roster } from "../../decision/mod.ts";
import { type BackendServer } from "../../model/mod.ts";
import { type AttemptOutcome } from "./attempt_outcome.ts";
import {
  eventsOf,
  sendCompleteAnswer,
  startBackend,
  type TestBackend,
} from "../servers/backend_fixture.ts";
import { type ForwardContext } from "./forward_context.ts";
import { forwardContextOf } from "./forward_context_fixture.ts";
import {
  call,
  LOOKUP_ROUTE,
  REGISTER_ROUTE,
  startGateway,
  testProtocol,
  untilReady,
} from "../gateway_fixture.ts";
import { holdUpAfter } from "../hold_up_fixture.ts";
import { answerHeadOf, startRawServer } from "../servers/raw_server_fixture.ts";
import { ServerAttempt } from "../servers/server_attempt.ts";
import {
  beginUnframed,
  type RunEnd,
  sendUnmarked,
} from "./unmarked_end_fixture.ts";

const ONCE = { isResumable: false } as const;
const PART = eventsOf(1, 3);
const HELD_UP_MS = 800;

// Guards against ORDER: the part of a stream that a server had sent as its
// process ended was given to the caller as the whole.
test("a stream that may run once is cut as its server ends between two events", async (context) => {
  const result = await sendUnmarked(context, {
    runs: [{ lastId: 3, end: "gone" }],
    route: ONCE,
  });
  const cut = { status: 200, body: PART, isComplete: false };
  assert.deepEqual(result, { ...cut, runs: [undefined] });
});

test("a stream that may run once is complete if its server lives on", async (context) => {
  const result = await sendUnmarked(context, {
    runs: [{ lastId: 3, end: "closed" }],
    route: ONCE,
  });
  const whole = { status: 200, body: PART, isComplete: true };
  assert.deepEqual(result, { ...whole, runs: [undefined] });
});

// Guards against ORDER: a server crashed and was started again while a VM was
// paused, and the VM took the crash for the end of its streams.
test("an end that a VM reads late, as it was held up, is not believed", async (context) => {
  const backend = await startBackend("one", (request, response) => {
    beginUnframed(request, response);
    response.write(PART);
    setTimeout(() => {
      void holdUpAfter(() => response.end(), HELD_UP_MS);
    }, 200);
  });
  const vm = await startGateway({
    backends: [backend],
    manifest: { routes: [routeOf(ONCE)] },
  });
  context.after(async () => {
    await vm.gateway.stop();
    await backend.close();
  });
  await untilReady(vm);
  const { status, body, isComplete } = await call(vm.callerAddress, {});
  assert.deepEqual([status, body, isComplete], [200, PART, false]);
});

interface PlainResult {
  readonly status: number;
  readonly body: string;
  readonly isComplete: boolean;
  readonly runCount: number;
}

/** Sends a request whose first server closes after a part of the answer. */
async function sendPlain(
  context: TestContext,
  { path, end }: { readonly path: string; readonly end: RunEnd },
): Promise<PlainResult> {
  const backends: TestBackend[] = [];
  let runCount = 0;
  for (const id of ["one", "two"]) {
    const backend = await startBackend(id, (request, response) => {
      runCount += 1;
      if (runCount > 1) return sendCompleteAnswer(request, response);
      beginUnframed(request, response);
      response.write("a part");
      setTimeout(() => {
        if (end === "gone") backend.stopListening();
        response.end();
      }, 20);
    });
    backends.push(backend);
  }
  const vm = await startGateway({
    backends,
    manifest: { routes: [LOOKUP_ROUTE, REGISTER_ROUTE] },
  });
  context.after(async () => {
    await vm.gateway.stop();
    await Promise.all(backends.map((backend) => backend.close()));
  });
  await untilReady(vm);
  const { status, body, isComplete } = await call(vm.callerAddress, { path });
  return { status, body, isComplete, runCount };
}

// Guards against MIXED: the same of an answer that is no stream.
test("an answer that its server's end cut short is asked for again", async (context) => {
  const result = await sendPlain(context, { path: "/lookups/a", end: "gone" });
  const whole = { status: 200, body: "whole", isComplete: true };
  assert.deepEqual(result, { ...whole, runCount: 2 });
});

// Guards against MIXED and TWICE: the same of one that may run once.
test("an answer that may run once is a failure as its server ends", async (context) => {
  const path = "/registrations/a";
  const { status, runCount } = await sendPlain(context, { path, end: "gone" });
  assert.deepEqual([status, runCount], [502, 1]);
});

for (const path of ["/lookups/a", "/registrations/a"]) {
  test(`an answer without a length is complete if its server lives on: ${path}`, async (context) => {
    const result = await sendPlain(context, { path, end: "closed" });
    const whole = { status: 200, body: "a part", isComplete: true };
    assert.deepEqual(result, { ...whole, runCount: 1 });
  });
}

// Guards against LOST: an answer that may run once was replaced by a failure as
// its server was at its limit of connections, beyond which it resets them.
test("an answer without a length is complete if its server is full", async (context) => {
  let runCount = 0;
  const { server } = await startRawServer(context, {
    answer: (socket, requestId) => {
      runCount += 1;
      socket.end(`${answerHeadOf(requestId)}whole`);
    },
    isFull: () => runCount > 0,
  });
  const vm = await startGateway({ manifest: { routes: [REGISTER_ROUTE] } });
  context.after(() => vm.gateway.stop());
  vm.servers.put(server.id, server);
  await untilReady(vm);
  const { status, body } = await call(vm.callerAddress, {
    path: "/registrations/a",
  });
  assert.deepEqual([status, body, runCount], [200, "whole", 1]);
});

/** What is known of a server that stops listening and then ends a stream. */
const LEAVES = {
  draining: ({ fleet }, server) =>
    fleet.update(rosterOf({ ...server, status: "draining" })),
  removed: ({ fleet }) => fleet.update(EMPTY_ROSTER),
  stated: ({ statements }, server) => statements.recordLeaving(server),
  restarted: ({ fleet }, server) =>
    fleet.update(rosterOf({ ...server, processStartedAtMs: 99 })),
  nothing: () => {},
} satisfies Record<
  string,
  (context: ForwardContext, server: BackendServer) => void
>;

function rosterOf(server: BackendServer): Roster {
  const records = [{ id: server.id, server, offset: 2 }];
  return applyRoster(EMPTY_ROSTER, { kind: "changed", records }, 0);
}

/** The outcome of a stream that its server ends as it leaves. */
async function leave(
  test: TestContext,
  { how, isListening }: {
    readonly how: keyof typeof LEAVES;
    readonly isListening: boolean;
  },
): Promise<AttemptOutcome["kind"]> {
  const backend = await startBackend("one", (request, response) => {
    LEAVES[how](context, backend.server);
    if (!isListening) backend.stopListening();
    beginUnframed(request, response);
    response.end(PART);
  });
  test.after(() => backend.close());
  const { context } = forwardContextOf([backend.server]);
  const caller = testProtocol.readRequest({
    method: "POST",
    target: "/drafts/one",
    rawHeaders: ["test-id", "one"],
  });
  assert.ok(typeof caller !== "string");
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
      isStreaming: true,
      onHead: () => "relay",
      onData: () => {},
      onOutcome: ({ kind }) => resolve(kind),
      onException: assert.fail,
    });
  });
}

for (const how of ["draining", "removed", "stated", "nothing"] as const) {
  // Guards against LOST: the last streams of a server that leaves were cut.
  test(`a server that still listens may end its last stream: ${how}`, async (context) => {
    const outcome = await leave(context, { how, isListening: true });
    assert.equal(outcome, "stream_end");
  });

  // Guards against ORDER: the exit of a process, planned or not, was taken for
  // the end of its streams.
  test(`a stream whose server exits has broken off: ${how}`, async (context) => {
    const outcome = await leave(context, { how, isListening: false });
    assert.equal(outcome, "fault");
  });
}

// Guards against ORDER: the process that had taken the place of one that crashed
// vouched for the streams of that one.
test("a stream has broken off whose server another process has replaced", async (context) => {
  const outcome = await leave(context, { how: "restarted", isListening: true });
  assert.equal(outcome, "fault");
});
