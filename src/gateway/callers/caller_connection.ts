/**
 * A caller's connection and its open exchanges, in the order of their requests.
 * A request has its turn when all earlier ones are answered, and none where an
 * earlier answer closes the connection: its own could not be sent any more.
 * Input that can't be read as a request is answered with a status only where
 * no request is open; an open one gets its answer, and the connection closes
 * after it. A caller that has ended its side of the connection counts as gone.
 */
import { STATUS_CODES } from "node:http";
import { type Socket } from "node:net";
import { type CallerExchange } from "./caller_exchange.ts";
import { type CloseCause, type ConnectionLoss } from "./connection_loss.ts";

/** The code of the error for a head that has not arrived in time. */
export const HEAD_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";
/** The code of the error for a request that asks for a tunnel. */
export const TUNNEL_CODE = "ERR_TUNNEL";
const DEFAULT_ERROR_STATUS = 400;
/** Statuses of errors of Node's parser, by their code. */
const ERROR_STATUSES: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  [HEAD_TIMEOUT_CODE]: 408,
  [TUNNEL_CODE]: 405,
};

/**
 * Time for a caller to read what it has been sent before a reset: many programs
 * take a reset behind bytes that they have not read for a plain end.
 */
export const CUT_MS = 200;

/** Requests named in the report of a loss. */
const MAX_REPORTED_IDS = 8;
/** Codes of errors by which a caller's reset is seen. */
const RESET_CODES: readonly string[] = ["ECONNRESET", "EPIPE"];

export class CallerConnection {
  readonly #socket: Socket;
  readonly #onLoss: (loss: ConnectionLoss) => void;
  readonly #open: CallerExchange[] = [];
  #unsent: CallerExchange[] = [];
  #requestCount = 0;
  #closeCause: CloseCause | undefined;
  #isEnding = false;
  #resetTimer: NodeJS.Timeout | undefined;

  /** `onLoss` is called when a close has taken requests along. */
  constructor(socket: Socket, onLoss: (loss: ConnectionLoss) => void) {
    this.#socket = socket;
    this.#onLoss = onLoss;
    // Node tells only the first open response that its connection is closed.
    socket.once("close", () => {
      clearTimeout(this.#resetTimer);
      this.#abandon("unknown");
    });
    socket.once("end", () => this.#handleCallerEnd());
  }

  /** Whether an answer can still be sent. */
  get isOpen(): boolean {
    return this.#socket.writable && this.#resetTimer === undefined;
  }

  /** Whether a request is not answered yet. */
  get isBusy(): boolean {
    return this.#open.length > 0;
  }

  /** The number of requests whose heads have been received. */
  get requestCount(): number {
    return this.#requestCount;
  }

  /** Adds the exchange of a request that has been received. */
  add(exchange: CallerExchange): void {
    this.#requestCount += 1;
    exchange.onCut = () => this.#resetSoon();
    this.#open.push(exchange);
  }

  /** Removes an exchange that is closed; the next one has its turn. */
  remove(exchange: CallerExchange): void {
    const index = this.#open.indexOf(exchange);
    if (index >= 0) this.#open.splice(index, 1);
    if (!exchange.isSent) this.#unsent.push(exchange);
    if (exchange.ending === "cut") this.#closeCause ??= "cut";
    if (this.isOpen) this.#open[0]?.beginTurn();
  }

  /** Calls the listener when the exchange has its turn. */
  awaitTurn(exchange: CallerExchange, listener: () => void): void {
    exchange.onTurn = listener;
    if (this.isOpen && this.#open[0] === exchange) exchange.beginTurn();
  }

  /** Handles an error of the connection or in what the caller sends. */
  handleError(error: NodeJS.ErrnoException): void {
    if (this.#resetTimer !== undefined) return;
    this.#closeCause ??= causeOf(error);
    const [first] = this.#open;
    if (first === undefined || this.#isOnlyUnread(first)) {
      return answerError(this.#socket, error);
    }
    if (this.#isEnding) return;
    this.#isEnding = true;
    first.closeAfterAnswer();
  }

  /**
   * Closes the connection as the VM stops: at once, unless that would make a
   * part of an answer look complete. Then it is reset; resolves once it is
   * closed.
   */
  async close(): Promise<void> {
    this.#closeCause ??= "stop";
    const isCut = this.#open[0]?.isCutByClose === true;
    if (isCut || this.#resetTimer !== undefined) {
      this.#resetSoon();
      await new Promise((resolve) => this.#socket.once("close", resolve));
    }
    this.#abandon("stop");
  }

  /** Nothing tells a caller that sends no more from one that has left. */
  #handleCallerEnd(): void {
    if (this.#open.length === 0) return;
    this.#closeCause ??= "caller_end";
    if (this.#open[0]?.isCutByEnd === true) this.#resetSoon();
    if (this.#resetTimer === undefined) this.#socket.end();
    for (const exchange of [...this.#open]) {
      if (!exchange.isOver) exchange.handleClosed();
    }
  }

  /** Ends what is open and reports what has not been answered. */
  #abandon(cause: CloseCause): void {
    for (const exchange of [...this.#open]) exchange.handleClosed();
    const unsent = this.#unsent;
    this.#unsent = [];
    if (unsent.length === 0) return;
    this.#onLoss({
      cause: this.#closeCause ?? cause,
      requestCount: unsent.length,
      unreadCount: unsent.filter(({ isRead }) => !isRead).length,
      requestIds: unsent.flatMap(({ requestId }) => requestId ?? [])
        .slice(0, MAX_REPORTED_IDS),
    });
  }

  #resetSoon(): void {
    if (this.#socket.destroyed) return;
    this.#resetTimer ??= setTimeout(
      () => this.#socket.resetAndDestroy(),
      CUT_MS,
    );
  }

  /** Whether the one open request is not read completely nor answered. */
  #isOnlyUnread(first: CallerExchange): boolean {
    return this.#open.length === 1 && !first.isRead && !first.isHeadSent;
  }
}

function causeOf({ code = "" }: NodeJS.ErrnoException): CloseCause {
  if (RESET_CODES.includes(code)) return "caller_reset";
  return code === HEAD_TIMEOUT_CODE ? "head_timeout" : "unreadable";
}

/** Writes the status of an error, if possible, and closes the connection. */
export function answerError(
  socket: Socket,
  { code }: NodeJS.ErrnoException,
): void {
  if (socket.writable) {
    const status = ERROR_STATUSES[code ?? ""] ?? DEFAULT_ERROR_STATUS;
    socket.write(
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
        "Connection: close\r\nContent-Length: 0\r\n\r\n",
    );
  }
  socket.destroySoon();
}
