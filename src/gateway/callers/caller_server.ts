/**
 * The HTTP server that callers connect to. It reads each request completely,
 * within the manifest's limits, and passes it on. A request that exceeds a
 * limit is refused at once with the matching status.
 */
import { type IncomingMessage, type Server } from "node:http";
import { type Socket } from "node:net";
import { type CallerLimits } from "../../model/mod.ts";
import {
  type BoundCause,
  createBoundedServer,
  listen,
} from "../../wire/mod.ts";
import { BODY_TOO_LARGE, BodyReader, BUSY } from "./body_reader.ts";
import {
  answerError,
  CallerConnection,
  HEAD_TIMEOUT_CODE,
  TUNNEL_CODE,
} from "./caller_connection.ts";
import {
  CallerExchange,
  type CallerExchangeOptions,
} from "./caller_exchange.ts";
import { type ConnectionLoss } from "./connection_loss.ts";
import { afterReading } from "../read_timeout.ts";
import {
  type RequestFault,
  UnreadRequests,
  VM_ENDS,
} from "./unread_request.ts";
import { type VmMemory } from "./vm_memory.ts";

/** Limit of Node's parser; the manifest's limit is lower. */
export const MAX_HEAD_BYTES = 64 * 1024;
/** Limits until the first manifest is loaded. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};
const CHECK_PERIOD_MS = 500;
/** A caller asks for a tunnel, which HTTP allows on any connection. */
const TUNNEL_ERROR: NodeJS.ErrnoException = Object.assign(
  new Error("tunnels are not supported"),
  { code: TUNNEL_CODE },
);
/** Separators of one header line: colon, space, CR and LF. */
const HEADER_OVERHEAD_BYTES = 4;

/** A caller's request whose head has been received. */
export interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly exchange: CallerExchange;
  readonly receivedAtMs: number;
}

/**
 * Handles a request's head and returns the function that receives the body;
 * `undefined` discards the body.
 */
export type HeadHandler = (
  received: ReceivedRequest,
) => ((body: Buffer) => void) | undefined;

export interface CallerServerOptions
  extends Pick<CallerExchangeOptions, "writeRefusal"> {
  readonly host: string;
  readonly port: number;
  readonly memory: VmMemory;
  readonly maxConnectionCount: number;
  readonly clock: () => number;
  readonly limits: () => CallerLimits | undefined;
  readonly onHead: HeadHandler;
  /** Called when a connection could not be accepted. */
  readonly onAcceptError: (error: Error) => void;
  /** Called for each connection that is closed for a bound. */
  readonly onBound: (cause: BoundCause) => void;
  /** Called for each connection whose close took requests along. */
  readonly onLoss: (loss: ConnectionLoss) => void;
}

export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #connections = new Map<Socket, CallerConnection>();
  readonly #unread = new UnreadRequests();
  readonly #bodies: BodyReader;
  #openCount = 0;
  #isClosing = false;
  #isRefusing = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    const exchangeOptions = {
      writeRefusal: options.writeRefusal,
      readTimeoutMs: () => this.#limits().idleTimeoutMs,
    };
    this.#bodies = new BodyReader({
      memory: options.memory,
      limits: () => this.#limits(),
      unread: this.#unread,
      clock: options.clock,
    });
    this.#server = createBoundedServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      connectionsCheckingInterval: CHECK_PERIOD_MS,
      requestTimeout: 0,
      noDelay: true,
    }, {
      maxConnectionCount: options.maxConnectionCount,
      onClose: options.onBound,
    }, (request, response) => {
      const exchange = new CallerExchange(request, response, exchangeOptions);
      this.#receive(request, exchange);
    });
    // Node would end its own side as a caller does, by which a part of an answer
    // may look complete; connections end themselves.
    Object.assign(this.#server, { httpAllowHalfOpen: true });
    // The streams of a server without TLS are sockets.
    this.#server.on("clientError", (error, stream) => {
      this.#handleError(stream as Socket, error);
    });
    this.#server.on("timeout", (socket) => this.#closeIdle(socket));
    // Node would close the connection at once. Its listeners are gone by now.
    this.#server.on("connect", (_request, stream) => {
      const socket = stream as Socket;
      socket.on("error", (error) => this.#handleError(socket, error));
      socket.resume();
      this.#handleError(socket, TUNNEL_ERROR);
    });
    this.applyLimits();
  }

  /** The number of requests that have not been answered yet. */
  get openCount(): number {
    return this.#openCount;
  }

  /** Starts listening and returns the port. */
  listen(): Promise<number> {
    const { host, port } = this.#options;
    const { onAcceptError } = this.#options;
    return listen(this.#server, { host, port, backlog: 1024, onAcceptError });
  }

  /** Applies the timeouts of the current manifest. */
  applyLimits(): void {
    const { headerTimeoutMs, idleTimeoutMs } = this.#limits();
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Closes each connection after the answer to its next request. */
  beginClosing(): void {
    this.#isClosing = true;
  }

  /** Stops accepting connections and closes the idle ones. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Stops listening, and refuses what still comes on open connections. */
  refuseRequests(): void {
    this.#isRefusing = true;
    this.#server.close();
  }

  /**
   * Refuses requests and closes all connections: at once, unless callers have to
   * be shown that their answers are cut.
   */
  async close(): Promise<void> {
    this.refuseRequests();
    await Promise.all(
      [...this.#connections.values()].map((one) => one.close()),
    );
    this.#server.closeAllConnections();
  }

  /**
   * Closes a kept connection, unless its next request has arrived. Answers have
   * limits of their own, which Node tells of here too.
   */
  #closeIdle(socket: Socket): void {
    const isBusy = (): boolean =>
      this.#connections.get(socket)?.isBusy === true;
    if (isBusy()) return;
    const { bytesRead } = socket;
    afterReading(() => {
      if (socket.bytesRead === bytesRead && !isBusy()) socket.destroy();
    });
  }

  #limits(): CallerLimits {
    return this.#options.limits() ?? INITIAL_LIMITS;
  }

  #receive(request: IncomingMessage, exchange: CallerExchange): void {
    const receivedAtMs = this.#options.clock();
    const connection = this.#connectionOf(request.socket);
    const isWaiting = connection.isBusy;
    this.#openCount += 1;
    connection.add(exchange);
    exchange.onClosed = () => {
      this.#openCount -= 1;
      connection.remove(exchange);
    };
    if (this.#isClosing) exchange.closeAfterAnswer();
    if (!connection.isOpen) return this.#unread.drain(request, exchange);
    if (this.#isRefusing) {
      return this.#unread.refuse(request, exchange, VM_ENDS);
    }
    const fault = this.#findFault(request);
    if (fault !== undefined) {
      return this.#unread.refuse(request, exchange, fault);
    }
    const received = { request, exchange, receivedAtMs };
    if (isWaiting) {
      return this.#bodies.read(request, exchange, (body) => {
        connection.awaitTurn(exchange, () => this.#passOn(received, body));
      });
    }
    const onBody = this.#options.onHead(received);
    if (onBody === undefined) return this.#unread.drain(request, exchange);
    this.#bodies.read(request, exchange, onBody);
  }

  /** Passes on a request that has waited for earlier ones. */
  #passOn(received: ReceivedRequest, body: Buffer): void {
    const { request, exchange } = received;
    if (this.#isRefusing) {
      return this.#unread.refuse(request, exchange, VM_ENDS);
    }
    if (this.#isClosing) exchange.closeAfterAnswer();
    this.#options.onHead(received)?.(body);
  }

  #handleError(socket: Socket, error: NodeJS.ErrnoException): void {
    const known = this.#connections.get(socket);
    const answer = (): void => {
      const connection = this.#connections.get(socket);
      if (connection === undefined) answerError(socket, error);
      else connection.handleError(error);
    };
    if (error.code !== HEAD_TIMEOUT_CODE) return answer();
    const requestCount = known?.requestCount;
    afterReading(() => {
      const connection = this.#connections.get(socket);
      if (connection?.requestCount === requestCount) answer();
    });
  }

  #connectionOf(socket: Socket): CallerConnection {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const connection = new CallerConnection(socket, this.#options.onLoss);
    this.#connections.set(socket, connection);
    socket.once("close", () => this.#connections.delete(socket));
    return connection;
  }

  #findFault(request: IncomingMessage): RequestFault | undefined {
    const { maxHeaderBytes, maxBodyBytes } = this.#limits();
    if (headSizeBytes(request) > maxHeaderBytes) {
      return { status: 431, reason: "header_too_large" };
    }
    const length = Number(request.headers["content-length"] ?? 0);
    if (length > maxBodyBytes) return BODY_TOO_LARGE;
    if (!this.#bodies.hasRoom(length)) return BUSY;
    return undefined;
  }
}

function headSizeBytes(request: IncomingMessage): number {
  let bytes = request.url?.length ?? 0;
  for (const text of request.rawHeaders) bytes += text.length;
  return bytes + request.rawHeaders.length / 2 * HEADER_OVERHEAD_BYTES;
}
