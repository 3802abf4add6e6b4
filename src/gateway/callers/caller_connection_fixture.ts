/** Callers that write to the connections of a gateway byte by byte. */
import { connect, type Socket } from "node:net";
import { type TestContext } from "node:test";
import { holdUpAfter } from "../hold_up_fixture.ts";
import { routeOf } from "../../decision/manifest_fixture.ts";
import {
  type BackendHandler,
  sendCompleteAnswer,
  startBackend,
  type TestBackend,
} from "../servers/backend_fixture.ts";
import {
  API_HOST,
  REGISTER_ROUTE,
  startGateway,
  type TestGateway,
  untilReady,
} from "../gateway_fixture.ts";

/** The limits of the gateway. */
export const LIMITS = {
  maxHeaderBytes: 2000,
  maxBodyBytes: 1_000_000,
  headerTimeoutMs: 300,
  idleTimeoutMs: 5000,
};
/** Longer than the head timeout and the interval at which it is checked. */
export const WORK_MS = 1500;
/** Longer than the head timeout and the interval at which it is checked. */
export const HELD_UP_MS = 1800;
/** The time that a server needs to answer soon. */
export const SHORT_WORK_MS = 300;

/** A gateway and its server. */
export interface TestSite {
  readonly gateway: TestGateway;
  readonly backend: TestBackend;
}

/** Starts a gateway with one server. */
export async function setUp(
  context: TestContext,
  handler: BackendHandler,
  { memoryBytes = 350 * 1024 * 1024, limits = LIMITS }: {
    readonly memoryBytes?: number;
    readonly limits?: typeof LIMITS;
  } = {},
): Promise<TestSite> {
  const backend = await startBackend("server", handler);
  const gateway = await startGateway({
    backends: [backend],
    manifest: {
      routes: [{ ...REGISTER_ROUTE, timeoutMs: 5000 }, routeOf()],
      limits,
    },
    settings: { graceMs: 3000, entryMaxAgeMs: 400, memoryBytes },
  });
  await untilReady(gateway);
  context.after(async () => {
    await Promise.all([gateway.gateway.stop(), backend.close()]);
  });
  return { gateway, backend };
}

/** A caller's connection and what it has received. */
export interface TestCaller {
  readonly socket: Socket;
  text: string;
  isClosed: boolean;
}

/** Connects a caller to the gateway. */
export function connectCaller({ gateway }: TestSite): TestCaller {
  const [host = "", port = ""] = gateway.callerAddress.split(":");
  const socket = connect(Number(port), host);
  const caller = { socket, text: "", isClosed: false };
  socket.on("data", (bytes) => caller.text += String(bytes));
  socket.on("error", () => {});
  socket.on("close", () => caller.isClosed = true);
  return caller;
}

/** Returns a request with a body of five bytes. */
export function requestOf(id: string): string {
  return headOf(id, 5) + "12345";
}

/** Returns the head of a request. */
export function headOf(id: string, length: number): string {
  return `POST /registrations/${id} HTTP/1.1\r\nHost: ${API_HOST}\r\n` +
    `test-id: ${id}\r\ntest-key: a-key\r\nContent-Length: ${length}\r\n\r\n`;
}

/** Returns the statuses of the answers received. */
export function statusesIn({ text }: TestCaller): string[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) =>
    status ?? ""
  );
}

/** Answers later than the head timeout. */
export const answerLate: BackendHandler = (request, response) => {
  setTimeout(() => sendCompleteAnswer(request, response), WORK_MS);
};

/** Answers after a short time. */
export const answerSoon: BackendHandler = (request, response) => {
  setTimeout(() => sendCompleteAnswer(request, response), SHORT_WORK_MS);
};

/** Writes to a connection and holds up the event loop. */
export function writeAndHoldUp(
  { socket }: TestCaller,
  text: string,
): Promise<void> {
  return holdUpAfter(() => socket.write(text), HELD_UP_MS);
}

/** What closed the connections whose requests were lost, each cause once. */
export function lossCauses({ gateway }: TestSite): string[] {
  const lines = gateway.gateway.metricsText()
    .matchAll(/^connections_lost\{cause="(\w+)"\}/gm);
  return [...lines].map(([, cause]) => cause ?? "");
}

/** The number of requests that the gateway has open. */
export function openCount({ gateway }: TestSite): number {
  const [, count] = gateway.gateway.metricsText()
    .match(/^\S*open_requests\S* (\d+)$/m) ?? [];
  return Number(count);
}
