/**
 * An HTTP server that bounds what clients make it keep by connecting and by
 * sending requests ahead. Beyond its connections, the one that has been without a
 * request for longest is closed for a new one. If all have requests, the one whose
 * request has been arriving for longest gives way, so that places aren't held by
 * bodies that never end, or the new one if none takes long. A connection with more
 * open requests than allowed is closed.
 */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import { type Socket } from "node:net";

/** The bounds of a server. */
export interface ConnectionBounds {
  readonly maxConnectionCount: number;
  /** Requests of one connection that are not answered yet. */
  readonly maxOpenRequestCount?: number;
  /** Called for each connection that is closed for a bound. */
  readonly onClose?: (cause: BoundCause) => void;
}

/** The bound for which a connection is closed. */
export type BoundCause = "connections" | "requests_ahead";

/** Clients that wait for each answer have one. */
const MAX_OPEN_REQUEST_COUNT = 32;
/** A request that has been arriving for longer may give its place away. */
const LONG_ARRIVAL_MS = 1000;

/** Creates a server within bounds; requests beyond them aren't listened to. */
export function createBoundedServer(
  options: ServerOptions,
  bounds: ConnectionBounds,
  listener: RequestListener,
): Server {
  const connections = new BoundedConnections(bounds);
  const server = createServer(options, (request, response) => {
    if (connections.begin(request.socket, response)) {
      listener(request, response);
    }
  });
  server.on("connection", (socket: Socket) => connections.add(socket));
  return server;
}

interface BegunRequest {
  readonly request: IncomingMessage;
  readonly sinceMs: number;
}

/** The connections of a server. */
class BoundedConnections {
  readonly #bounds: ConnectionBounds;
  readonly #openCounts = new Map<Socket, number>();
  /** Connections without a request, the one idle for longest first. */
  readonly #idle = new Set<Socket>();
  /** The last request of each connection that has one, and when it began. */
  readonly #begun = new Map<Socket, BegunRequest>();

  constructor(bounds: ConnectionBounds) {
    this.#bounds = bounds;
  }

  add(socket: Socket): void {
    this.#openCounts.set(socket, 0);
    this.#idle.add(socket);
    socket.once("close", () => this.#forget(socket));
    if (this.#openCounts.size <= this.#bounds.maxConnectionCount) return;
    const [longestIdle = socket] = this.#idle;
    // The new one is idle too.
    const closed = longestIdle === socket
      ? this.#longestArriving() ?? socket
      : longestIdle;
    this.#close(closed, "connections");
  }

  #longestArriving(): Socket | undefined {
    for (const [socket, { request, sinceMs }] of this.#begun) {
      if (performance.now() - sinceMs <= LONG_ARRIVAL_MS) return undefined;
      if (!request.complete) return socket;
    }
    return undefined;
  }

  /** Counts a request; returns false if its connection is closed. */
  begin(socket: Socket, response: ServerResponse): boolean {
    if (socket.destroyed) return false;
    const { maxOpenRequestCount = MAX_OPEN_REQUEST_COUNT } = this.#bounds;
    const openCount = (this.#openCounts.get(socket) ?? 0) + 1;
    if (openCount > maxOpenRequestCount) {
      this.#close(socket, "requests_ahead");
      return false;
    }
    this.#openCounts.set(socket, openCount);
    this.#idle.delete(socket);
    this.#begun.delete(socket);
    const sinceMs = performance.now();
    this.#begun.set(socket, { request: response.req, sinceMs });
    response.once("close", () => this.#end(socket));
    return true;
  }

  #end(socket: Socket): void {
    const openCount = this.#openCounts.get(socket);
    if (openCount === undefined) return;
    this.#openCounts.set(socket, openCount - 1);
    if (openCount > 1) return;
    this.#idle.add(socket);
    this.#begun.delete(socket);
  }

  #forget(socket: Socket): void {
    this.#openCounts.delete(socket);
    this.#idle.delete(socket);
    this.#begun.delete(socket);
  }

  #close(socket: Socket, cause: BoundCause): void {
    // It takes a place until it is closed, but must not be chosen again.
    this.#forget(socket);
    socket.destroy();
    this.#bounds.onClose?.(cause);
  }
}
