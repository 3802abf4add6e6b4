/** Backend servers that frame their answers in each way, and break them off. */
import assert from "node:assert/strict";
import { type Socket } from "node:net";
import { type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { type BackendServer, type ServiceRoute } from "../../model/mod.ts";
import { eventOf, eventsOf } from "../servers/backend_fixture.ts";
import {
  answerHeadOf,
  type RawAnswer as ServerAnswer,
  startRawServer,
} from "../servers/raw_server_fixture.ts";
import {
  LOOKUP_ROUTE,
  startGateway,
  type TestGateway,
  untilReady,
} from "../gateway_fixture.ts";
import { until } from "../until_fixture.ts";
import { callRaw, type RawAnswer, type RawCall } from "./raw_caller_fixture.ts";

/** How a server marks the end of a stream. */
export type StreamFraming = "chunks" | "none";

export const STREAM_FRAMINGS: readonly StreamFraming[] = ["chunks", "none"];

/** A stream that a server sends. */
export interface ServedStream {
  readonly framing: StreamFraming;
  readonly eventCount: number;
  readonly pauseMs: number;
  /** Returns the events after which the server resets its connection. */
  readonly resetAfter?: () => number;
}

export const EVENT_COUNT = 8;
export const PAUSE_MS = 10;
/** More events than a test waits for. */
export const ENDLESS_COUNT = 1000;
/** Their pause. */
export const ENDLESS_PAUSE_MS = 50;
/** The events of a stream of `EVENT_COUNT` events. */
export const WHOLE = eventsOf(1, EVENT_COUNT);

/** Routes of streams and of other answers. */
export function testRoutesOf(
  { isResumable }: { readonly isResumable: boolean },
): ServiceRoute[] {
  return [routeOf({ isResumable, maxAttempts: 1 }), LOOKUP_ROUTE];
}

/** The same, with streams that can't be resumed. */
export const TEST_ROUTES = testRoutesOf({ isResumable: false });

/** Returns an answer that sends one event after another. */
export function streamOf(stream: ServedStream): ServerAnswer {
  const { framing, eventCount, pauseMs } = stream;
  const isChunked = framing === "chunks";
  return (socket, requestId) => {
    const resetAfter = stream.resetAfter?.();
    const lines = isChunked ? ["transfer-encoding: chunked"] : [];
    let sentCount = 0;
    const sendNext = (): void => {
      if (socket.destroyed) return void clearInterval(timer);
      if (sentCount === 0) socket.write(answerHeadOf(requestId, ...lines));
      if (sentCount === resetAfter) {
        clearInterval(timer);
        return void socket.resetAndDestroy();
      }
      if (sentCount < eventCount) {
        sentCount += 1;
        const event = eventOf(sentCount);
        return void socket.write(isChunked ? chunkOf(event) : event);
      }
      clearInterval(timer);
      socket.end(isChunked ? "0\r\n\r\n" : "");
    };
    const timer = setInterval(sendNext, pauseMs);
  };
}

/** Returns text as one chunk. */
export function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** An answer that a server sends at once. */
export interface ServedText {
  readonly status?: number;
  readonly lines?: readonly string[];
  readonly text?: string;
}

/** Sends an answer in one write and ends the connection. */
export function sendText(
  socket: Socket,
  { requestId, status = 200, lines = [], text = "" }: ServedText & {
    readonly requestId: string;
  },
): void {
  const head = answerHeadOf(requestId, ...lines).replace(
    "200 OK",
    `${status} -`,
  );
  socket.end(head + text);
}

/** Starts backend servers that all answer in the same way. */
export async function startServers(
  context: TestContext,
  answer: ServerAnswer,
): Promise<BackendServer[]> {
  const started = await Promise.all(
    ["a", "b", "c"].map((id) => startRawServer(context, { id, answer })),
  );
  // Many callers at once must find a free slot.
  return started.map(({ server }) => ({ ...server, slotCount: 1000 }));
}

/** Starts a VM with backend servers that all answer in the same way. */
export async function startVm(
  context: TestContext,
  answer: ServerAnswer,
  routes: readonly ServiceRoute[] = TEST_ROUTES,
): Promise<TestGateway> {
  const vm = await startGateway({
    manifest: { routes },
    settings: { graceMs: 1500 },
  });
  for (const server of await startServers(context, answer)) {
    vm.servers.put(server.id, server);
  }
  context.after(() => vm.gateway.stop());
  await untilReady(vm);
  return vm;
}

/** Sends requests at once. */
export function callAtOnce(
  count: number,
  callOf: (index: number) => RawCall,
): Promise<RawAnswer[]> {
  return Promise.all(
    Array.from({ length: count }, (_, index) => callRaw(callOf(index))),
  );
}

/** Requests whose answers have begun. */
export interface BegunCalls {
  readonly answers: Promise<RawAnswer[]>;
}

/** Sends requests at once, and waits for the heads of their answers. */
export async function beginAtOnce(
  count: number,
  call: RawCall,
): Promise<BegunCalls> {
  let headCount = 0;
  const onHead = (): void => void (headCount += 1);
  const answers = callAtOnce(count, () => ({ ...call, onHead }));
  await until(() => headCount === count);
  return { answers };
}

/** Fails if a begun stream does not look cut. */
export function assertCut(
  answers: readonly RawAnswer[],
  eventCount: number,
): void {
  const counts = countsByLook(answers, eventCount);
  const message = JSON.stringify(counts);
  assert.ok((counts["200 cut"] ?? 0) > answers.length / 2, message);
  for (const look of ["whole", "short", "other", "timeout"]) {
    assert.equal(counts[`200 ${look}`], undefined, message);
  }
}

/** Counts streams of some events by status and how they look to callers. */
export function countsByLook(
  answers: readonly RawAnswer[],
  eventCount = EVENT_COUNT,
): Record<string, number> {
  const whole = eventsOf(1, eventCount);
  const counts: Record<string, number> = {};
  for (const answer of answers) {
    const look = `${answer.status} ${lookOf(answer, whole)}`;
    counts[look] = (counts[look] ?? 0) + 1;
  }
  return counts;
}

/** `other` for bytes that are not the first ones of the stream. */
function lookOf(answer: RawAnswer, whole: string): string {
  const { looksComplete, status, body, ending } = answer;
  if (ending === "timeout") return "timeout";
  if (status !== 200) return looksComplete ? "answered" : "cut";
  if (!whole.startsWith(body)) return "other";
  if (!looksComplete) return "cut";
  return body === whole ? "whole" : "short";
}
