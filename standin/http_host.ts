/**
 * The HTTP server used by every stand-in. It listens on loopback and a port
 * assigned by the system by default, limits the size of request bodies, and
 * terminates open connections on close.
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo } from "node:net";

const MAX_BODY_BYTES = 8_388_608;

/** A request to a stand-in, with its parsed URL and body, and the response. */
export interface Call {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly response: ServerResponse;
}

/** Listen address; port 0 lets the system assign a port. */
export interface ListenOptions {
  readonly host?: string;
  readonly port?: number;
}

/** Handles a call and sends its response. */
export type CallHandler = (call: Call) => Promise<void> | void;

/** A stand-in for a service, started and stopped by tests. */
export interface Standin {
  /** Starts listening and resolves to the `host:port` address. */
  listen(options?: ListenOptions): Promise<string>;
  close(): Promise<void>;
}

/** An HTTP server that passes every call to one handler. */
export class HttpHost implements Standin {
  readonly #server: Server;

  constructor(handler: CallHandler) {
    this.#server = createServer((request, response) => {
      void serve(request, response, handler);
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  listen(options: ListenOptions = {}): Promise<string> {
    const host = options.host ?? "127.0.0.1";
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(options.port ?? 0, host, () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`${host}:${port}`);
      });
    });
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}

async function serve(
  request: IncomingMessage,
  response: ServerResponse,
  handler: CallHandler,
): Promise<void> {
  try {
    const body = await readBody(request);
    await handler({
      method: request.method ?? "GET",
      url: new URL(request.url ?? "/", "http://standin"),
      headers: request.headers,
      body,
      response,
    });
  } catch (error) {
    if (response.headersSent) response.destroy();
    else sendError(response, 400, String(error));
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of request) {
    sizeBytes += (chunk as Buffer).length;
    if (sizeBytes > MAX_BODY_BYTES) throw new Error("the body is too large");
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends `{ error }`, with a `retry-after` header for status 429. */
export function sendError(
  response: ServerResponse,
  status: number,
  error: string,
): void {
  if (status === 429) response.setHeader("retry-after", "1");
  sendJson(response, status, { error });
}

/** Resolves after `durationMs`, or immediately for 0 or less. */
export function pause(durationMs: number): Promise<void> {
  if (durationMs <= 0) return Promise.resolve();
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Returns a query parameter as a number, or `fallback`. */
export function numberOf(url: URL, name: string, fallback: number): number {
  const value = Number(url.searchParams.get(name) ?? fallback);
  return Number.isFinite(value) ? value : fallback;
}
