/** Why, and for how long, this VM sends a backend server no request. */
import { type BackendServer } from "../../model/mod.ts";
import { type ForwardContext } from "../forwarding/forward_context.ts";

/** A server that is closed to this VM. */
export interface ServerClosure {
  readonly reason:
    | "evacuated"
    | "server_leaving"
    | "server_paused"
    | "server_limit"
    | "server_cold"
    | "server_brittle";
  /** Infinity where it does not open again, or not for this VM. */
  readonly waitMs: number;
}

/** Returns the closure that lasts longest; undefined if the server is open. */
export function closureOf(
  { brittleness, cold, evacuations, limits, statements }: ForwardContext,
  server: BackendServer,
): ServerClosure | undefined {
  if (evacuations.isEvacuated(server.place)) {
    return { reason: "evacuated", waitMs: Infinity };
  }
  if (statements.isLeaving(server)) {
    return { reason: "server_leaving", waitMs: Infinity };
  }
  const pauseMs = statements.pauseLeftMs(server);
  const limitMs = limits.waitMs(server);
  const brittleMs = brittleness.waitMs(server);
  const coldMs = cold.waitMs(server);
  if (coldMs > Math.max(pauseMs, limitMs, brittleMs)) {
    return { reason: "server_cold", waitMs: coldMs };
  }
  if (pauseMs === 0 && limitMs === 0 && brittleMs === 0) return undefined;
  if (brittleMs > Math.max(pauseMs, limitMs)) {
    return { reason: "server_brittle", waitMs: brittleMs };
  }
  return pauseMs > limitMs
    ? { reason: "server_paused", waitMs: pauseMs }
    : { reason: "server_limit", waitMs: limitMs };
}
