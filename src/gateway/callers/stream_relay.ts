/**
 * Relays one stream to its caller from one or more backend servers. Complete
 * events are sent as they arrive, and their numbers must be consecutive, so
 * that a stream resumed at another server has no missing, duplicate or partial
 * event. Once the caller has a head, only an answer of the same status and media
 * type whose first event has the next number continues the stream.
 */
import { judgeStreamEnd, type StreamEnd } from "../../decision/mod.ts";
import { type CallerExchange } from "./caller_exchange.ts";
import { EventSplitter, MAX_EVENT_BYTES } from "./event_splitter.ts";
import { type AnswerHead } from "../protocol.ts";

/** The result of relaying some bytes of a stream. */
export type RelayResult =
  | "relayed"
  | "slow_caller"
  | "out_of_order"
  | "no_stream"
  | "oversize";

/** A number as callers state it; any other text is left to the server. */
const ID_PATTERN = /^\d{1,15}$/;

export interface StreamRelayOptions {
  /** The last event that the caller named. */
  readonly lastEventId: string | undefined;
}

/** The relay of one caller's stream. */
export class StreamRelay {
  readonly #exchange: CallerExchange;
  #splitter = new EventSplitter();
  #head: AnswerHead | undefined;
  /** The head of the server whose bytes the splitter has. */
  #splitHead: AnswerHead | undefined;
  #lastId: number | undefined;
  #hasEvent = false;
  #isAttached = false;
  /** Whether the attached server has sent no event of a begun stream yet. */
  #isResuming = false;

  constructor(
    exchange: CallerExchange,
    { lastEventId }: StreamRelayOptions,
  ) {
    this.#exchange = exchange;
    if (lastEventId !== undefined && ID_PATTERN.test(lastEventId)) {
      this.#lastId = Number(lastEventId);
    }
  }

  /** The number of the last event relayed or, at first, named by the caller. */
  get lastId(): number | undefined {
    return this.#lastId;
  }

  /**
   * Attaches the next server; the caller gets the head of the first one that
   * sends anything.
   */
  attach(head: AnswerHead): void {
    this.#splitter = new EventSplitter();
    this.#splitHead = head;
    this.#isAttached = this.#continues(head);
    this.#isResuming = this.#exchange.isHeadSent;
    if (!this.#exchange.isHeadSent) this.#head = head;
  }

  /** Discards the head, unless it has been sent to the caller. */
  discardHead(): void {
    if (!this.#exchange.isHeadSent) this.#head = undefined;
  }

  /** Relays bytes of the attached server. */
  push(chunk: Buffer): RelayResult {
    if (!this.#isAttached) return "no_stream";
    let result: RelayResult = "relayed";
    for (const { bytes, id } of this.#splitter.push(chunk)) {
      if (!this.#isNextId(id)) return "out_of_order";
      if (id !== undefined) this.#lastId = id;
      this.#isResuming = false;
      this.#hasEvent = true;
      if (!this.#write(bytes)) result = "slow_caller";
    }
    return this.#splitter.remainder.length > MAX_EVENT_BYTES
      ? "oversize"
      : result;
  }

  /** Whether another server can go on: not after events without a number. */
  get canGoOn(): boolean {
    return !this.#hasEvent || this.#lastId !== undefined;
  }

  /** Whether any event was sent to the caller. */
  get hasEvent(): boolean {
    return this.#hasEvent;
  }

  /** Judges the end of the attached server's answer. */
  endOf(server: AnswerHead): StreamEnd {
    return judgeStreamEnd({
      isMarked: server.isFramed,
      isInsideEvent: this.#splitter.isInsideEvent,
      hasEvent: this.#hasEvent || this.#lastId !== undefined,
      isContinuation: this.#continues(server),
    });
  }

  /** Ends the caller's answer as complete, with the last server's answer. */
  complete(server: AnswerHead): void {
    // A stream without further events has not attached its server.
    if (!this.#exchange.isHeadSent) this.#head = server;
    const { remainder } = this.#splitter;
    const isOfServer = server === this.#splitHead;
    if (isOfServer && remainder.length > 0) this.#write(remainder);
    this.#sendHead();
    this.#exchange.end();
  }

  #continues(head: AnswerHead): boolean {
    if (this.#head === undefined || !this.#exchange.isHeadSent) return true;
    return head.status === this.#head.status &&
      head.mediaType === this.#head.mediaType;
  }

  #isNextId(id: number | undefined): boolean {
    if (this.#lastId === undefined) return true;
    if (id === undefined) return !this.#isResuming;
    return id === this.#lastId + 1;
  }

  #write(bytes: Buffer): boolean {
    this.#sendHead();
    return this.#exchange.write(bytes);
  }

  #sendHead(): void {
    if (this.#exchange.isHeadSent || this.#head === undefined) return;
    const { status, passedHeaders } = this.#head;
    this.#exchange.sendHead(status, passedHeaders);
  }
}
