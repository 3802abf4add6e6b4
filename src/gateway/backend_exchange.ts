/**
 * One request to one backend server, over a connection of its own. Kept
 * connections are not used: one may have gone silent or hold bytes that belong
 * to an earlier request, and a new one costs less than what such a connection
 * puts at risk. The module uses node's own client, since undici takes a reset
 * for the end of an answer that has no length.
 */
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import { splitAddress } from "../model/mod.ts";

/** What is sent and to whom. */
export interface BackendCall {
  /** Host and port. */
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connectTimeoutMs: number;
}

/** Why an attempt ended without a whole answer. */
export interface ExchangeFault {
  readonly kind: "unreachable" | "reset" | "malformed";
  /** Whether nothing of the request can have reached the server. */
  readonly isUnsent: boolean;
  readonly message: string;
}

/** What happens in the course of an attempt; `onEnd` or `onFault` is last. */
export interface ExchangeEvents {
  readonly onHead: (status: number, rawHeaders: readonly string[]) => void;
  readonly onData: (chunk: Buffer) => void;
  /** The answer is whole. */
  readonly onEnd: () => void;
  readonly onFault: (fault: ExchangeFault) => void;
}

const connectionAgent = new Agent({ keepAlive: false, maxSockets: Infinity });

/** A running attempt. */
export class BackendExchange {
  readonly #request: ClientRequest;
  readonly #events: ExchangeEvents;
  #response: IncomingMessage | undefined;
  #isConnected = false;
  #isOver = false;
  #connectTimer: NodeJS.Timeout | undefined;

  constructor(call: BackendCall, events: ExchangeEvents) {
    this.#events = events;
    this.#request = request({
      agent: connectionAgent,
      ...splitAddress(call.address),
      method: call.method,
      path: call.target,
      headers: call.headers as string[],
      setHost: false,
    });
    this.#connectTimer = setTimeout(
      () => this.#fail("unreachable", "no connection in time"),
      call.connectTimeoutMs,
    );
    this.#listen();
    this.#request.end(call.body);
  }

  /** Whether nothing of the request can have left yet. */
  get isUnsent(): boolean {
    return !this.#isConnected;
  }

  /** Ends the attempt and its connection; no further event follows. */
  cancel(): void {
    this.#end();
    this.#request.destroy();
  }

  /** Stops reading until `resume`. */
  pause(): void {
    this.#response?.pause();
  }

  /** Goes on reading. */
  resume(): void {
    this.#response?.resume();
  }

  #listen(): void {
    this.#request.on("socket", (socket) => {
      socket.setNoDelay(true);
      socket.once("connect", () => {
        this.#isConnected = true;
        clearTimeout(this.#connectTimer);
      });
    });
    this.#request.on("error", (error: NodeJS.ErrnoException) => {
      const isParserFault = error.code?.startsWith("HPE_") === true;
      this.#fail(this.#faultKind(isParserFault), error.message);
    });
    this.#request.on("upgrade", () => this.#fail("malformed", "an upgrade"));
    this.#request.on("response", (response) => this.#read(response));
    this.#request.on(
      "close",
      () => this.#fail(this.#faultKind(false), "closed"),
    );
  }

  #read(response: IncomingMessage): void {
    if (this.#isOver) return;
    this.#response = response;
    this.#events.onHead(response.statusCode ?? 0, response.rawHeaders);
    if (this.#isOver) return;
    response.on("data", (chunk: Buffer) => {
      if (!this.#isOver) this.#events.onData(chunk);
    });
    response.on("aborted", () => this.#fail("reset", "broken off"));
    response.on("error", (error) => this.#fail("reset", error.message));
    response.on("end", () => {
      if (this.#isOver) return;
      if (!response.complete) return this.#fail("reset", "broken off");
      this.#end();
      this.#request.destroy();
      this.#events.onEnd();
    });
  }

  #faultKind(isParserFault: boolean): ExchangeFault["kind"] {
    if (isParserFault) return "malformed";
    return this.#isConnected ? "reset" : "unreachable";
  }

  #fail(kind: ExchangeFault["kind"], message: string): void {
    if (this.#isOver) return;
    this.#end();
    this.#request.destroy();
    this.#events.onFault({ kind, isUnsent: !this.#isConnected, message });
  }

  #end(): void {
    this.#isOver = true;
    clearTimeout(this.#connectTimer);
  }
}
