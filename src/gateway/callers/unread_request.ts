/**
 * Refusals of requests that have not been received completely. The rest of a
 * body is read and discarded for a while: closing the connection at once could
 * reset it before the caller has read the answer. Only a few long ones are read
 * at a time, as what is read takes memory until it is collected; the connections
 * of others close.
 */
import { type IncomingMessage } from "node:http";
import { type CallerExchange } from "./caller_exchange.ts";

/**
 * How long the rest of a refused request's body is read.
 * Also the retry delay sent when the memory for request bodies is used up.
 */
export const BODY_DRAIN_MS = 1000;
/** As much of each body is read. */
const SHORT_REST_BYTES = 16 * 1024;
/** Bodies of which more is read at a time. */
const MAX_LONG_COUNT = 8;

/** Why a request is refused before it has been received completely. */
export interface RequestFault {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** The refusal of requests that come as the VM ends. */
export const VM_ENDS: RequestFault = { status: 503, reason: "vm_stopped" };

/** The requests of a server that are read no further. */
export class UnreadRequests {
  #longCount = 0;

  /** Refuses a request, discards its body and closes the connection. */
  refuse(
    request: IncomingMessage,
    exchange: CallerExchange,
    fault: RequestFault,
  ): void {
    exchange.closeAfterAnswer();
    exchange.refuse(fault);
    this.drain(request, exchange);
  }

  /** Reads and discards the rest of a body for up to `BODY_DRAIN_MS`. */
  drain(request: IncomingMessage, exchange: CallerExchange): void {
    request.resume();
    if (request.complete) return;
    const end = (): void => {
      if (exchange.isHeld) exchange.endHeld();
      else if (!request.complete && exchange.isOver) request.destroy();
    };
    const timer = setTimeout(end, BODY_DRAIN_MS);
    timer.unref();
    let restBytes = 0;
    let isLong = false;
    request.on("data", ({ length }: Buffer) => {
      restBytes += length;
      if (isLong || restBytes <= SHORT_REST_BYTES) return;
      if (this.#longCount >= MAX_LONG_COUNT) return end();
      isLong = true;
      this.#longCount += 1;
    });
    request.once("end", () => exchange.endHeld());
    request.once("close", () => {
      clearTimeout(timer);
      if (isLong) this.#longCount -= 1;
    });
  }
}
