/**
 * Relays one stream to its caller over one or more backend servers. Whole
 * events are passed on as they come; their numbers must follow on, so that a
 * stream which goes on at another server has no gap, no repeat and no half
 * event.
 */
import { type CallerExchange } from "./caller_exchange.ts";
import { EventSplitter, MAX_EVENT_BYTES } from "./event_splitter.ts";
import { type AnswerHead } from "./protocol.ts";

/** What came of some bytes of a stream. */
export type RelayResult =
  | "relayed"
  | "slow_caller"
  | "out_of_order"
  | "oversize";

/** The caller's stream. */
export class StreamRelay {
  readonly #exchange: CallerExchange;
  #splitter = new EventSplitter();
  #head: AnswerHead | undefined;
  #lastId: number | undefined;

  constructor(exchange: CallerExchange, lastEventId: string | undefined) {
    this.#exchange = exchange;
    const given = Number(lastEventId);
    if (lastEventId !== undefined && Number.isSafeInteger(given)) {
      this.#lastId = given;
    }
  }

  /** The number of the last event relayed, or the one the caller named. */
  get lastId(): number | undefined {
    return this.#lastId;
  }

  /** A server begins to send; the first head is the one the caller gets. */
  attach(head: AnswerHead): void {
    this.#splitter = new EventSplitter();
    this.#head ??= head;
  }

  /** Forgets a head of which the caller has seen nothing. */
  discardHead(): void {
    if (!this.#exchange.isHeadSent) this.#head = undefined;
  }

  /** Takes bytes of the attached server. */
  push(chunk: Buffer): RelayResult {
    let step: RelayResult = "relayed";
    for (const { bytes, id } of this.#splitter.push(chunk)) {
      if (!this.#followsOn(id)) return "out_of_order";
      if (id !== undefined) this.#lastId = id;
      if (!this.#write(bytes)) step = "slow_caller";
    }
    return this.#splitter.remainder.length > MAX_EVENT_BYTES
      ? "oversize"
      : step;
  }

  /**
   * The attached server has sent all of its answer. Where it did not say so but
   * only closed its connection, a caller that was promised an end gets none.
   */
  end(server: AnswerHead): void {
    // A stream without a further event has attached no server.
    this.#head ??= server;
    const { remainder: rest } = this.#splitter;
    if (rest.length > 0) this.#write(rest);
    this.#begin();
    if (this.#head.isFramed && !server.isFramed) {
      return this.#exchange.abort();
    }
    this.#exchange.end();
  }

  #followsOn(id: number | undefined): boolean {
    if (id === undefined || this.#lastId === undefined) return true;
    return id === this.#lastId + 1;
  }

  #write(bytes: Buffer): boolean {
    this.#begin();
    return this.#exchange.write(bytes);
  }

  #begin(): void {
    if (this.#exchange.isHeadSent || this.#head === undefined) return;
    const { status, passedHeaders, isFramed } = this.#head;
    this.#exchange.sendHead(status, passedHeaders, { isFramed });
  }
}
