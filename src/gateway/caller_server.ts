/**
 * The HTTP server that callers connect to. It reads a request whole, within the
 * manifest's bounds, and hands it on; what cannot be served is refused at once
 * with a status that says why.
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { type CallerLimits } from "../model/mod.ts";
import { CallerExchange } from "./caller_exchange.ts";

/** The longest head that is read at all; the manifest's bound is lower. */
const MAX_HEAD_BYTES = 64 * 1024;
/** Bounds until a manifest is known. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};
const CHECK_PERIOD_MS = 500;
/** An unread body is read on for so long, so that its caller sees the answer. */
const LINGER_MS = 1000;
/** Bytes of a header beside its name and value. */
const HEADER_OVERHEAD_BYTES = 4;
/** Part of the process's memory for bodies of requests. */
const BODY_SHARE_OF_MEMORY = 0.2;

/** A whole request of a caller. */
export interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly exchange: CallerExchange;
  readonly receivedAtMs: number;
}

/** Whether a request's body is wanted, and who gets it. */
export type HeadHandler = (
  received: ReceivedRequest,
) => ((body: Buffer) => void) | undefined;

/** What a caller server needs. */
export interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly memoryBytes: number;
  readonly clock: () => number;
  readonly limits: () => CallerLimits | undefined;
  readonly onHead: HeadHandler;
}

/** Listens for callers. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #bodyBudgetBytes: number;
  #bodyBytes = 0;
  #openCount = 0;
  #isClosing = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#bodyBudgetBytes = options.memoryBytes * BODY_SHARE_OF_MEMORY;
    this.#server = createServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      connectionsCheckingInterval: CHECK_PERIOD_MS,
      requestTimeout: 0,
      noDelay: true,
    }, (request, response) => {
      this.#receive(request, new CallerExchange(request, response));
    });
    this.applyLimits();
  }

  /** Requests that have not been answered yet. */
  get openCount(): number {
    return this.#openCount;
  }

  /** Begins to listen; answers the port. */
  listen(): Promise<number> {
    const { host, port } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port, backlog: 1024 }, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Takes over the time bounds of a new manifest. */
  applyLimits(): void {
    const { headerTimeoutMs, idleTimeoutMs } = this.#limits();
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Answers from now on are the last of their connections. */
  beginClosing(): void {
    this.#isClosing = true;
  }

  /** Takes no further connections and closes those without a request. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Closes everything at once. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #limits(): CallerLimits {
    return this.#options.limits() ?? FIRST_LIMITS;
  }

  #receive(request: IncomingMessage, exchange: CallerExchange): void {
    const receivedAtMs = this.#options.clock();
    this.#openCount += 1;
    exchange.onClosed = () => {
      this.#openCount -= 1;
    };
    if (this.#isClosing) exchange.closeAfterAnswer();
    const fault = this.#faultOf(request);
    if (fault !== undefined) {
      return refuseUnread(request, exchange, fault);
    }
    const take = this.#options.onHead({ request, exchange, receivedAtMs });
    if (take === undefined) return drain(request, exchange);
    this.#readBody(request, exchange, take);
  }

  #faultOf(request: IncomingMessage): OwnFault | undefined {
    const { maxHeaderBytes, maxBodyBytes } = this.#limits();
    if (headBytesOf(request) > maxHeaderBytes) {
      return { status: 431, reason: "header_too_large" };
    }
    const length = Number(request.headers["content-length"] ?? 0);
    if (length > maxBodyBytes) return { status: 413, reason: "body_too_large" };
    if (this.#bodyBytes + length > this.#bodyBudgetBytes) {
      return { status: 503, reason: "busy", retryAfterMs: LINGER_MS };
    }
    return undefined;
  }

  #readBody(
    request: IncomingMessage,
    exchange: CallerExchange,
    take: (body: Buffer) => void,
  ): void {
    const chunks: Buffer[] = [];
    let length = 0;
    const { maxBodyBytes, idleTimeoutMs } = this.#limits();
    const stop = (fault: OwnFault): void => {
      clearTimeout(idle);
      request.removeAllListeners("data").removeAllListeners("end");
      this.#bodyBytes -= length;
      length = 0;
      refuseUnread(request, exchange, fault);
    };
    const isIdle = (): void => stop({ status: 408, reason: "body_timeout" });
    let idle = setTimeout(isIdle, idleTimeoutMs);
    request.on("data", (chunk: Buffer) => {
      clearTimeout(idle);
      length += chunk.length;
      this.#bodyBytes += chunk.length;
      if (length > maxBodyBytes) {
        return stop({ status: 413, reason: "body_too_large" });
      }
      if (this.#bodyBytes > this.#bodyBudgetBytes) {
        const retryAfterMs = LINGER_MS;
        return stop({ status: 503, reason: "busy", retryAfterMs });
      }
      chunks.push(chunk);
      idle = setTimeout(isIdle, idleTimeoutMs);
    });
    exchange.onBodyRelease = () => {
      clearTimeout(idle);
      this.#bodyBytes -= length;
      length = 0;
    };
    request.on("end", () => {
      clearTimeout(idle);
      if (!exchange.isOver) take(Buffer.concat(chunks));
    });
  }
}

interface OwnFault {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** Answers a request whose body is not wanted, and ends its connection. */
function refuseUnread(
  request: IncomingMessage,
  exchange: CallerExchange,
  fault: OwnFault,
): void {
  exchange.closeAfterAnswer();
  exchange.refuse(fault);
  drain(request, exchange);
}

/** Reads on and drops what comes, for a while. */
function drain(request: IncomingMessage, exchange: CallerExchange): void {
  request.resume();
  if (request.complete) return;
  const timer = setTimeout(() => {
    if (!request.complete && exchange.isOver) request.destroy();
  }, LINGER_MS);
  timer.unref();
}

function headBytesOf(request: IncomingMessage): number {
  let bytes = request.url?.length ?? 0;
  for (const text of request.rawHeaders) bytes += text.length;
  return bytes + request.rawHeaders.length / 2 * HEADER_OVERHEAD_BYTES;
}
