/**
 * The caller's side of one request: the answer's head is sent once, with the
 * first bytes of its body, and an answer that cannot be completed ends with the
 * connection, so that it never looks whole.
 */
import { type IncomingMessage, type ServerResponse } from "node:http";

/** A whole answer. */
export interface CompleteAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Whether the body is known to be whole; else its length is not stated. */
  readonly isFramed: boolean;
}

/** A refusal or failure of the gateway itself. */
export interface GatewayRefusal {
  readonly status: number;
  readonly reason: string;
  /** When the caller may come back; only where the request has not run. */
  readonly retryAfterMs?: number;
}

const MS_PER_SECOND = 1000;

/** One request's way back to its caller. */
export class CallerExchange {
  readonly #response: ServerResponse;
  #isOver = false;
  #onGone: () => void = () => {};
  #onDrain: () => void = () => {};
  #onClosed: () => void = () => {};
  #onReleased: () => void = () => {};
  #status = 0;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.#response = response;
    response.sendDate = false;
    response.on("error", () => {});
    request.on("error", () => {});
    response.on("drain", () => this.#onDrain());
    response.on("close", () => {
      this.#onClosed();
      this.#onReleased();
      if (this.#isOver) return;
      this.#isOver = true;
      this.#onGone();
    });
  }

  /** Whether the answer has been given or the caller has gone. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Whether the answer's head has been sent. */
  get isHeadSent(): boolean {
    return this.#response.headersSent;
  }

  /** The status sent, 0 before. */
  get status(): number {
    return this.#status;
  }

  /** Called once when the caller leaves before the end of its answer. */
  set onDisconnect(listener: () => void) {
    this.#onGone = listener;
  }

  /** Called when a slow caller has taken what was written. */
  set onDrain(listener: () => void) {
    this.#onDrain = listener;
  }

  /** Called once when nothing more is to be sent or received. */
  set onClosed(listener: () => void) {
    this.#onClosed = listener;
  }

  /** Called with `onClosed`, for whoever holds the request's body. */
  set onBodyRelease(listener: () => void) {
    this.#onReleased = listener;
  }

  /** Announces that this is the connection's last answer. */
  closeAfterAnswer(): void {
    this.#response.shouldKeepAlive = false;
  }

  /** Sends a whole answer. */
  answer({ status, headers, body, isFramed }: CompleteAnswer): void {
    if (this.#isOver) return;
    if (!isFramed) {
      this.sendHead(status, headers, { isFramed });
      this.write(body);
      return this.end();
    }
    this.#isOver = true;
    this.#status = status;
    this.#response.writeHead(status, [
      ...headers,
      "Content-Length",
      String(body.length),
    ]);
    this.#response.end(body);
  }

  /** Sends an answer of the gateway itself. */
  refuse({ status, reason, retryAfterMs }: GatewayRefusal): void {
    const headers = ["Content-Type", "text/plain"];
    if (retryAfterMs !== undefined) {
      const seconds = (retryAfterMs / MS_PER_SECOND).toFixed(2);
      headers.push("Retry-After", seconds);
    }
    const body = Buffer.from(`${reason}\n`);
    this.answer({ status, headers, body, isFramed: true });
  }

  /** Sends the head of a stream; an unframed one ends with its connection. */
  sendHead(
    status: number,
    headers: readonly string[],
    { isFramed }: { readonly isFramed: boolean },
  ): void {
    if (this.#isOver) return;
    this.#status = status;
    if (!isFramed) {
      this.#response.useChunkedEncodingByDefault = false;
      this.closeAfterAnswer();
    }
    this.#response.writeHead(status, headers as string[]);
  }

  /** Sends a part of a stream; false while the caller is slow to take it. */
  write(bytes: Buffer): boolean {
    if (this.#isOver) return true;
    return this.#response.write(bytes);
  }

  /** Ends a stream that is whole. */
  end(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#response.end();
  }

  /** Breaks off an answer that cannot be completed. */
  abort(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#response.destroy();
  }
}
