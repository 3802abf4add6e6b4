/**
 * A small HTTP server on `node:http` that every stand-in is built on. It binds
 * a loopback port chosen by the system unless one is given, bounds request
 * bodies, and closes all connections when it is closed.
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

/** One call of a stand-in: request, parsed address, body and response. */
export interface Call {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly response: ServerResponse;
}

/** Where to listen; a port of 0 lets the system choose. */
export interface ListenOptions {
  readonly host?: string;
  readonly port?: number;
}

/** What answers a call. */
export type CallHandler = (call: Call) => Promise<void> | void;

/** A stand-in as its user sees it. */
export interface Standin {
  /** Starts to listen and answers the `host:port` address. */
  listen(options?: ListenOptions): Promise<string>;
  close(): Promise<void>;
}

/** Serves calls with one handler. */
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

/** Answers with a JSON body. */
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

/** Answers with the protocols' error body. */
export function sendError(
  response: ServerResponse,
  status: number,
  error: string,
): void {
  if (status === 429) response.setHeader("retry-after", "1");
  sendJson(response, status, { error });
}

/** Resolves after `durationMs`; at once for 0. */
export function pause(durationMs: number): Promise<void> {
  if (durationMs <= 0) return Promise.resolve();
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** The integer value of a query field, or `fallback`. */
export function numberOf(url: URL, name: string, fallback: number): number {
  const value = Number(url.searchParams.get(name) ?? fallback);
  return Number.isFinite(value) ? value : fallback;
}
