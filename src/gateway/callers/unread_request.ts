/** Refusals of requests that have not been received completely. */
import { type IncomingMessage } from "node:http";
import { type CallerExchange } from "./caller_exchange.ts";

/**
 * How long the rest of a refused request's body is read and discarded before
 * the connection closes. Closing it at once could reset it before the caller
 * has read the answer.
 * Also the retry delay sent when the memory for request bodies is used up.
 */
export const BODY_DRAIN_MS = 1000;

/** Why a request is refused before it has been received completely. */
export interface RequestFault {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** The refusal of requests that come as the VM ends. */
export const VM_ENDS: RequestFault = { status: 503, reason: "vm_stopped" };

/** Refuses a request, discards its body and closes the connection. */
export function refuseUnread(
  request: IncomingMessage,
  exchange: CallerExchange,
  fault: RequestFault,
): void {
  exchange.closeAfterAnswer();
  exchange.refuse(fault);
  drain(request, exchange);
}

/** Reads and discards the rest of a body for up to `BODY_DRAIN_MS`. */
export function drain(
  request: IncomingMessage,
  exchange: CallerExchange,
): void {
  request.resume();
  if (request.complete) return;
  request.once("end", () => exchange.endHeld());
  const timer = setTimeout(() => {
    if (exchange.isHeld) exchange.endHeld();
    else if (!request.complete && exchange.isOver) request.destroy();
  }, BODY_DRAIN_MS);
  timer.unref();
}
