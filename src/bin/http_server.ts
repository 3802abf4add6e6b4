/**
 * The HTTP server of an entry. It limits headers and idle time so that a slow
 * caller cannot hold a connection forever, and closes only after the answers in
 * progress are complete.
 */
import { once } from "node:events";
import {
  type createServer,
  type RequestListener,
  type Server,
  type ServerOptions,
} from "node:http";
import { type AddressInfo } from "node:net";
import { createAdaptorServer } from "@hono/node-server";
import { createBoundedServer } from "../wire/mod.ts";

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const CONNECTIONS_CHECK_MS = 2000;
const MAX_HEADERS = 100;
const MAX_CONNECTION_COUNT = 2000;

export type FetchHandler = (request: Request) => Response | Promise<Response>;

export interface HttpListenOptions {
  readonly host: string;
  /** 0 lets the operating system choose. */
  readonly port: number;
  readonly maxConnectionCount?: number;
}

/** A listening server. */
export interface HttpServer {
  /** Host and port. */
  readonly address: string;
  /** Stops accepting connections and resolves when the open ones are closed. */
  close(): Promise<void>;
}

/** Starts a server; rejects if it cannot listen on the address. */
export async function listenHttp(
  fetch: FetchHandler,
  options: HttpListenOptions,
): Promise<HttpServer> {
  const { maxConnectionCount = MAX_CONNECTION_COUNT } = options;
  const createServerWithin = (
    (serverOptions: ServerOptions, listener: RequestListener) =>
      createBoundedServer(serverOptions, { maxConnectionCount }, listener)
  ) as typeof createServer;
  const server = createAdaptorServer({
    fetch,
    createServer: createServerWithin,
    serverOptions: {
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTIONS_CHECK_MS,
    },
  }) as Server;
  server.maxHeadersCount = MAX_HEADERS;
  server.listen(options.port, options.host);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `${options.host}:${port}`,
    close: () => closeServer(server),
  };
}

async function closeServer(server: Server): Promise<void> {
  const closed = once(server, "close");
  server.close();
  server.closeIdleConnections();
  await closed;
}
