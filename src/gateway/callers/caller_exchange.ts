/**
 * The answer to one caller's request. The head is sent once, with the first
 * bytes of the body. An answer that cannot be completed ends by closing the
 * connection, so that the caller can't take it for complete. Therefore streams
 * come in chunks and whole answers state their length, but not where the server
 * did not mark the end: a whole answer of that kind ends with its connection if
 * one write can send it, and else comes in chunks. A stream to a caller that does
 * not know chunks ends with its connection.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { SHORT_ANSWER_BYTES } from "./answer_memory.ts";
import { type GatewayProtocol } from "../protocol.ts";

/** A complete answer. */
export interface CompleteAnswer {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /**
   * Whether its server marked the end of the body. A length would vouch for one
   * that may be a part.
   */
  readonly isEndMarked: boolean;
}

/** An error answer that the gateway itself creates. */
export interface GatewayRefusal {
  readonly status: number;
  readonly reason: string;
  /** Delay before a retry; only set where the request has not run. */
  readonly retryAfterMs?: number;
}

/**
 * How an answer ended for its caller: completely, cut off by this VM, or by the
 * caller's disconnection.
 */
export type AnswerEnding = "complete" | "cut" | "left";

/** What shows a caller the end of an answer. */
export type AnswerFraming = "length" | "chunks" | "close";

export interface CallerExchangeOptions {
  /** Encodes a gateway's own answers. */
  readonly writeRefusal: GatewayProtocol["writeRefusal"];
  /** How long a caller may read nothing of a long answer that has memory. */
  readonly readTimeoutMs: () => number;
}

const MS_PER_SECOND = 1000;
/** With it and with all 4xx a request has not run; with other 5xx it may have. */
const NOT_RUN_STATUS = 503;
/** Answers that end with their head. */
const BODILESS_STATUSES: readonly number[] = [204, 304];
/** The HTTP version from which on callers know chunks. */
const CHUNKS_VERSION = "1.1";
/** The kernel takes as many bytes of a new connection at once. */
const ATOMIC_WRITE_BYTES = 16 * 1024;

/** Sends the answer of one request to its caller. */
export class CallerExchange {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #options: CallerExchangeOptions;
  #isOver = false;
  #isHeld = false;
  #onDisconnect: () => void = () => {};
  #onDrain: () => void = () => {};
  #onClosed: () => void = () => {};
  #onCut: () => void = () => this.#socket.resetAndDestroy();
  readonly #releases: (() => void)[] = [];
  #onTurn: (() => void) | undefined;
  #isClosed = false;
  #status = 0;
  #ending: AnswerEnding | undefined;
  #framing: AnswerFraming | undefined;
  /** The id that its caller gave the request; `undefined` before it is known. */
  requestId: string | undefined;

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    options: CallerExchangeOptions,
  ) {
    this.#request = request;
    this.#response = response;
    this.#options = options;
    response.sendDate = false;
    response.on("error", () => {});
    request.on("error", () => {});
    response.on("drain", () => this.#onDrain());
    response.on("close", () => this.handleClosed());
  }

  /** Whether the answer has ended or the caller has disconnected. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Whether the request has been received completely. */
  get isRead(): boolean {
    return this.#request.complete;
  }

  /**
   * Whether the whole answer has left the process; one that is held counts as
   * sent.
   */
  get isSent(): boolean {
    return this.#response.writableFinished || this.#isHeld;
  }

  /** Whether the answer's head has been sent. */
  get isHeadSent(): boolean {
    return this.#response.headersSent;
  }

  /** The status sent to the caller; 0 before that. */
  get status(): number {
    return this.#status;
  }

  /** How the answer ended; `undefined` before its end. */
  get ending(): AnswerEnding | undefined {
    return this.#ending;
  }

  /** What marks the end of the answer; `undefined` before its head is sent. */
  get framing(): AnswerFraming | undefined {
    return this.#framing;
  }

  /** Called once when the caller disconnects before its answer ends. */
  set onDisconnect(listener: () => void) {
    this.#onDisconnect = listener;
  }

  /** Called when the write buffer of a slow caller is empty again. */
  set onDrain(listener: () => void) {
    this.#onDrain = listener;
  }

  /** Called once when the response is closed. */
  set onClosed(listener: () => void) {
    this.#onClosed = listener;
  }

  /**
   * Calls the listener when the caller has read the answer or has left, to free
   * memory of the request or its answer; at once if that has been so.
   */
  releaseWhenClosed(listener: () => void): void {
    if (this.#isClosed) listener();
    else this.#releases.push(listener);
  }

  /**
   * Closes the connection after this answer and announces that in its head,
   * unless it has been sent.
   */
  closeAfterAnswer(): void {
    this.#response.shouldKeepAlive = false;
    if (!this.#response.headersSent) return;
    this.#response.once("finish", () => this.#socket.destroySoon());
  }

  /**
   * Whether a plain end of the connection now would make a part of the answer
   * look complete.
   */
  get isCutByEnd(): boolean {
    return this.#framing === "close" && !this.#isOver;
  }

  /** Whether so would one that drops what has not been sent yet. */
  get isCutByClose(): boolean {
    return this.#framing === "close" && !this.#response.writableFinished;
  }

  /** Called when only a reset of the connection shows that the answer is cut. */
  set onCut(listener: () => void) {
    this.#onCut = listener;
  }

  /** Called once when all earlier requests of the connection are answered. */
  set onTurn(listener: () => void) {
    this.#onTurn = listener;
  }

  /** Tells a waiting exchange that all earlier requests are answered. */
  beginTurn(): void {
    const onTurn = this.#onTurn;
    this.#onTurn = undefined;
    if (!this.#isOver) onTurn?.();
  }

  /** Handles the end of the answer or of the connection. */
  handleClosed(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#onClosed();
    for (const release of this.#releases) release();
    if (this.#isOver) return;
    this.#isOver = true;
    this.#ending = "left";
    this.#onDisconnect();
  }

  /** Sends a complete answer; cuts one off whose head has been sent. */
  answer({ status, headers, body, isEndMarked }: CompleteAnswer): void {
    if (this.#isOver) return;
    if (this.isHeadSent) return this.abort();
    this.#isOver = true;
    this.#status = status;
    this.#ending = "complete";
    const hasBody = !BODILESS_STATUSES.includes(status);
    this.#framing = isEndMarked || !hasBody
      ? "length"
      : this.#unmarkedFramingOf(body.length);
    if (this.#framing === "close") this.#endWithConnection();
    const length = isEndMarked && hasBody
      ? ["Content-Length", String(body.length)]
      : [];
    this.#response.writeHead(status, [...headers, ...length]);
    if (body.length > SHORT_ANSWER_BYTES) {
      this.#cutIfUnread();
    }
    if (this.isRead || this.#response.shouldKeepAlive) {
      this.#response.end(body);
      return;
    }
    // Node closes the connection as the response ends, which would reset it
    // while the caller is still sending.
    this.#isHeld = true;
    this.#response.write(body);
  }

  /** Whether the answer is sent, but the connection is open for the body. */
  get isHeld(): boolean {
    return this.#isHeld;
  }

  /** Closes the connection of an answer that is held. */
  endHeld(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    this.#response.end();
  }

  /** Sends an error answer of the gateway itself. */
  refuse({ status, reason, retryAfterMs }: GatewayRefusal): void {
    const headers = ["Content-Type", "text/plain"];
    if (retryAfterMs !== undefined) {
      const seconds = (retryAfterMs / MS_PER_SECOND).toFixed(2);
      headers.push("Retry-After", seconds);
    }
    if (status < 500 || status === NOT_RUN_STATUS) {
      headers.push(...this.#options.writeRefusal(this.#request));
    }
    const body = Buffer.from(`${reason}\n`);
    this.answer({ status, headers, body, isEndMarked: true });
  }

  /**
   * Sends the head of a stream, which ends with the connection for callers that
   * do not know chunks.
   */
  sendHead(status: number, headers: readonly string[]): void {
    if (this.#isOver) return;
    this.#status = status;
    if (!this.#knowsChunks) this.#endWithConnection();
    this.#response.writeHead(status, headers as string[]);
    this.#framing = this.#response.chunkedEncoding ? "chunks" : "close";
  }

  /** Sends the head of an answer of a stated length, whose parts follow. */
  sendStatedHead(
    { status, headers, statedBytes }: {
      readonly status: number;
      readonly headers: readonly string[];
      readonly statedBytes: number;
    },
  ): void {
    if (this.#isOver) return;
    this.#status = status;
    this.#framing = "length";
    const length = ["Content-Length", String(statedBytes)];
    this.#response.writeHead(status, [...headers, ...length]);
    this.#cutIfUnread();
  }

  /** Sends a part of a stream; returns false while the write buffer is full. */
  write(bytes: Buffer): boolean {
    if (this.#isOver) return true;
    return this.#response.write(bytes);
  }

  /** Ends a complete stream. */
  end(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#ending = "complete";
    this.#response.end();
  }

  /** Closes the connection of an answer that cannot be completed. */
  abort(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#ending = "cut";
    if (this.#framing === "close") this.#onCut();
    else this.#response.destroy();
  }

  /** Ends an answer of which the connection takes nothing for too long. */
  #cutIfUnread(): void {
    this.#response.setTimeout(this.#options.readTimeoutMs(), () => {
      if (this.#response.writableFinished || this.#isClosed) return;
      if (this.#framing === "close") this.#onCut();
      else this.#response.destroy();
    });
  }

  /** The end of this process must not look like that of a part. */
  #unmarkedFramingOf(bodyBytes: number): AnswerFraming {
    const isAtomic = bodyBytes <= ATOMIC_WRITE_BYTES;
    return isAtomic || !this.#knowsChunks ? "close" : "chunks";
  }

  get #knowsChunks(): boolean {
    return this.#request.httpVersion === CHUNKS_VERSION;
  }

  #endWithConnection(): void {
    this.#response.useChunkedEncodingByDefault = false;
    this.closeAfterAnswer();
  }

  get #socket(): Socket {
    return this.#request.socket;
  }
}
