/**
 * The HTTP server of an entry: bounded headers and idle time, so that a slow
 * caller holds no connection for ever, and an end that lets answers in progress
 * finish.
 */
import { once } from "node:events";
import { type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { createAdaptorServer } from "@hono/node-server";

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const CONNECTIONS_CHECK_MS = 2000;
const MAX_HEADERS = 100;

/** Answers one request. */
export type FetchHandler = (request: Request) => Response | Promise<Response>;

/** Where to listen. */
export interface HttpListenOptions {
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
}

/** A listening server. */
export interface HttpServer {
  /** Host and port. */
  readonly address: string;
  /** Takes no new connections and ends when the open ones are done. */
  close(): Promise<void>;
}

/** Starts to listen; rejects when the address cannot be used. */
export async function listenHttp(
  fetch: FetchHandler,
  options: HttpListenOptions,
): Promise<HttpServer> {
  const server = createAdaptorServer({
    fetch,
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
