/** Backend servers on loopback ports whose behaviour a test defines. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { type AddressInfo } from "node:net";
import { serverOf } from "../../decision/manifest_fixture.ts";
import { type BackendServer } from "../../model/mod.ts";
import { LOOPBACK_HOST } from "../../model/loopback_fixture.ts";

/** Handles one request at a backend server. */
export type BackendHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** A backend server on a loopback port. */
export interface TestBackend {
  readonly server: BackendServer;
  /** Ids of the received requests, in order. */
  readonly requestIds: readonly string[];
  /** Headers of the received requests, in order. */
  readonly requestHeaders: readonly IncomingMessage["headers"][];
  /** Refuses new connections, as after the end of the server's process. */
  readonly stopListening: () => void;
  readonly close: () => Promise<void>;
}

/** Starts a backend server. */
export async function startBackend(
  id: string,
  handler: BackendHandler,
  fields: Partial<BackendServer> = {},
): Promise<TestBackend> {
  const requestIds: string[] = [];
  const requestHeaders: IncomingMessage["headers"][] = [];
  const http = createServer((request, response) => {
    requestIds.push(String(request.headers["test-id"]));
    requestHeaders.push(request.headers);
    request.resume();
    handler(request, response);
  });
  await new Promise<void>((resolve) => http.listen(0, LOOPBACK_HOST, resolve));
  const { port } = http.address() as AddressInfo;
  return {
    server: serverOf(id, { address: `${LOOPBACK_HOST}:${port}`, ...fields }),
    requestIds: requestIds,
    requestHeaders: requestHeaders,
    stopListening: () => void http.close(),
    close: () =>
      new Promise((resolve) => {
        http.close(() => resolve());
        http.closeAllConnections();
      }),
  };
}

/** Sends a complete answer with a length and a signature. */
export function sendCompleteAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  body = "whole",
): void {
  response.writeHead(200, {
    "test-id": String(request.headers["test-id"]),
    "test-signature": "signed",
    "content-length": String(body.length),
  });
  response.end(body);
}

/** Sends the head of a stream. */
export function beginStream(
  request: IncomingMessage,
  response: ServerResponse,
  headers: Record<string, string> = {},
): void {
  response.writeHead(200, {
    "test-id": String(request.headers["test-id"]),
    "test-signature": "signed",
    ...headers,
  });
}

/** Returns one event of a stream. */
export function eventOf(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Returns the events with the ids from `first` to `last`. */
export function eventsOf(first: number, last: number): string {
  let text = "";
  for (let id = first; id <= last; id++) text += eventOf(id);
  return text;
}
