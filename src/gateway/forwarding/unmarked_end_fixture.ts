/** Streams and answers whose servers end them by closing their connection. */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type TestContext } from "node:test";
import { routeOf } from "../../decision/manifest_fixture.ts";
import { type BackendServer, type ServiceRoute } from "../../model/mod.ts";
import {
  beginStream,
  eventOf,
  eventsOf,
  startBackend,
  type TestBackend,
} from "../servers/backend_fixture.ts";
import {
  call,
  type CallerAnswer,
  type CallOptions,
  startGateway,
  type TestGateway,
  type TestGatewayOptions,
  untilReady,
} from "../gateway_fixture.ts";

/** The last event of a whole stream. */
export const LAST_ID = 6;
/** Lets the events arrive before the end. */
const END_DELAY_MS = 20;

/** How a run ends; only `marked` has framing, `gone` ends the server as well. */
export type RunEnd = "marked" | "closed" | "closed_inside" | "reset" | "gone";

/** One run of a stream: it goes on to an event and ends. */
export interface StreamRun {
  readonly lastId: number;
  readonly end: RunEnd;
  /** Time from its last event to its end. */
  readonly endDelayMs?: number;
}

/** A run that sends all that is left and closes its connection. */
export const WHOLE_RUN: StreamRun = { lastId: LAST_ID, end: "closed" };

/** Begins an answer with neither a length nor chunks. */
export function beginUnframed(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  beginStream(request, response);
}

/** Sends the events of one run and ends it. */
export function play(
  { lastId, end, endDelayMs = END_DELAY_MS }: StreamRun,
  { request, response, stopListening }: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly stopListening: () => void;
  },
): void {
  if (end === "marked") beginStream(request, response);
  else beginUnframed(request, response);
  response.flushHeaders();
  const next = Number(request.headers["test-last"] ?? 0) + 1;
  const part = end === "closed_inside" ? eventOf(lastId + 1).slice(0, 9) : "";
  const text = eventsOf(next, lastId) + part;
  if (text !== "") response.write(text);
  setTimeout(() => {
    if (end === "gone") stopListening();
    if (end === "reset") response.socket?.resetAndDestroy();
    else response.end();
  }, endDelayMs);
}

export interface UnmarkedSetup {
  readonly gateway: TestGateway;
  readonly backends: readonly TestBackend[];
  /** The `Last-Event-Id` of each run of a request so far. */
  readonly runsOf: (requestId: string) => (string | undefined)[];
  readonly send: (request: CallOptions) => Promise<CallerAnswer>;
}

export interface UnmarkedOptions {
  readonly route?: Partial<ServiceRoute>;
  readonly serverCount?: number;
  readonly server?: Partial<BackendServer>;
  readonly settings?: TestGatewayOptions["settings"];
  /** The run of a request after so many others of it. */
  readonly runOf: (requestId: string, runIndex: number) => StreamRun;
}

/** Starts a VM and servers that play runs; all stop with the test. */
export async function startUnmarked(
  context: TestContext,
  { runOf, serverCount = 2, ...options }: UnmarkedOptions,
): Promise<UnmarkedSetup> {
  const runs = new Map<string, (string | undefined)[]>();
  const runsOf = (requestId: string): (string | undefined)[] =>
    runs.get(requestId) ?? [];
  const backends: TestBackend[] = [];
  for (let index = 0; index < serverCount; index++) {
    const backend = await startBackend(
      `server-${index}`,
      (request, response) => {
        const requestId = String(request.headers["test-id"]);
        const earlier = runsOf(requestId);
        const lastEventId = request.headers["test-last"]?.toString();
        runs.set(requestId, [...earlier, lastEventId]);
        const { stopListening } = backend;
        const run = runOf(requestId, earlier.length);
        play(run, { request, response, stopListening });
      },
      options.server,
    );
    backends.push(backend);
  }
  const gateway = await startGateway({
    backends,
    manifest: { routes: [routeOf(options.route)] },
    settings: {
      retryBound: { ratio: 5, slackCount: 20, windowMs: 10_000 },
      ...options.settings,
    },
  });
  context.after(async () => {
    await gateway.gateway.stop();
    await Promise.all(backends.map((backend) => backend.close()));
  });
  await untilReady(gateway);
  const send = (request: CallOptions): Promise<CallerAnswer> =>
    call(gateway.callerAddress, request);
  return { gateway, backends, runsOf, send };
}

/** What a caller gets, and how often the request ran. */
export interface UnmarkedResult {
  readonly status: number;
  readonly body: string;
  readonly isComplete: boolean;
  /** The `Last-Event-Id` of each run. */
  readonly runs: readonly (string | undefined)[];
}

/** Sends one request whose runs are given; those after them are whole. */
export async function sendUnmarked(
  context: TestContext,
  { runs, lastEventId, ...options }:
    & Omit<UnmarkedOptions, "runOf">
    & { readonly runs: readonly StreamRun[]; readonly lastEventId?: number },
): Promise<UnmarkedResult> {
  const { send, runsOf } = await startUnmarked(context, {
    ...options,
    runOf: (_, index) => runs[index] ?? WHOLE_RUN,
  });
  const headers: Record<string, string> = { "test-id": "one" };
  if (lastEventId !== undefined) headers["test-last"] = String(lastEventId);
  const { status, body, isComplete } = await send({ headers });
  return { status, body, isComplete, runs: runsOf("one") };
}
