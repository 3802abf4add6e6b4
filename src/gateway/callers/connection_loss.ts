/**
 * The loss of requests with their connection: it was closed before their answers
 * were sent. Tells what closed it, which the end of the requests does not show.
 */
import { type Logger } from "../../model/mod.ts";
import { type GatewayMetrics } from "../telemetry/gateway_metrics.ts";

/**
 * What closed a connection: its caller by an end or a reset, or this VM as it
 * stops, after a timeout, after bytes that are no request, or to show that an
 * answer is cut. `unknown` is none of these.
 */
export type CloseCause =
  | "caller_end"
  | "caller_reset"
  | "stop"
  | "head_timeout"
  | "unreadable"
  | "cut"
  | "unknown";

/** The requests that a connection took along. */
export interface ConnectionLoss {
  readonly cause: CloseCause;
  readonly requestCount: number;
  /** How many of them had not been received completely. */
  readonly unreadCount: number;
  /** Of the first ones that are known. */
  readonly requestIds: readonly string[];
}

/** Logs and counts a loss, as a warning where this VM closed the connection. */
export function logLoss(
  { logger, metrics }: {
    readonly logger: Logger;
    readonly metrics: GatewayMetrics;
  },
  { cause, requestCount, unreadCount, requestIds }: ConnectionLoss,
): void {
  metrics.count("connections_lost", { cause });
  const fields = {
    cause,
    requestCount,
    unreadCount,
    requests: requestIds.join(" "),
  };
  const isOfCaller = cause === "caller_end" || cause === "caller_reset";
  if (isOfCaller) logger.info("connection lost", fields);
  else logger.warn("connection lost", fields);
}
