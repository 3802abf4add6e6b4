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

const DEFAULT_ERROR_STATUS = 400;
/** Statuses of errors of Node's parser, by their code. */
const ERROR_STATUSES: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/**
 * Time for a caller to read what it has been sent before a reset: many programs
 * take a reset behind bytes that they have not read for a plain end.
 */
export const CUT_MS = 200;

export class CallerConnection {
  readonly #socket: Socket;
  readonly #open: CallerExchange[] = [];
  #isEnding = false;
  #resetTimer: NodeJS.Timeout | undefined;

  constructor(socket: Socket) {
    this.#socket = socket;
    // Node tells only the first open response that its connection is closed.
    socket.once("close", () => {
      clearTimeout(this.#resetTimer);
      for (const exchange of [...this.#open]) exchange.handleClosed();
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

  /** Adds the exchange of a request that has been received. */
  add(exchange: CallerExchange): void {
    exchange.onCut = () => this.#resetSoon();
    this.#open.push(exchange);
  }

  /** Removes an exchange that is closed; the next one has its turn. */
  remove(exchange: CallerExchange): void {
    const index = this.#open.indexOf(exchange);
    if (index >= 0) this.#open.splice(index, 1);
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
    const [first] = this.#open;
    if (first === undefined || this.#isOnlyUnread(first)) {
      return answerError(this.#socket, error);
    }
    if (this.#isEnding) return;
    this.#isEnding = true;
    first.closeAfterAnswer();
  }

  /**
   * Resets the connection if closing it now would make a part of an answer look
   * complete; resolves once it is closed.
   */
  async resetUnfinished(): Promise<void> {
    const isCut = this.#open[0]?.isCutByClose === true;
    if (!isCut && this.#resetTimer === undefined) return;
    this.#resetSoon();
    await new Promise((resolve) => this.#socket.once("close", resolve));
  }

  /** Nothing tells a caller that sends no more from one that has left. */
  #handleCallerEnd(): void {
    if (this.#open.length === 0) return;
    if (this.#open[0]?.isCutByEnd === true) this.#resetSoon();
    if (this.#resetTimer === undefined) this.#socket.end();
    for (const exchange of [...this.#open]) {
      if (!exchange.isOver) exchange.handleClosed();
    }
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
