/**
 * Answers whose end only the close of their connection shows. The end of a
 * process closes its connections too, so such an end is believed of a server or
 * VM that still accepts connections, or that was known to leave.
 */
import { type BackendServer } from "../../model/mod.ts";
import { connects } from "./connect_probe.ts";
import { type ForwardContext } from "../forwarding/forward_context.ts";
import { type AnswerHead } from "../protocol.ts";

/** Long enough for a connection whose first packet has to be sent again. */
const PROBE_TIMEOUT_MS = 400;
const NO_CONTENT_STATUS = 204;

/**
 * Whether only the close of its connection ends a success. The text of an error
 * need not be whole.
 */
export function isEndUnmarked(
  { status, isFramed }: AnswerHead,
  { method }: { readonly method: string },
): boolean {
  if (isFramed || status >= 300) return false;
  return status !== NO_CONTENT_STATUS && method !== "HEAD";
}

/** Whether a server or VM at an address still accepts connections. */
export function isListening(address: string): Promise<boolean> {
  return connects(address, { timeoutMs: PROBE_TIMEOUT_MS });
}

/** Whether a server may refuse connections while it ends its last answers. */
export function isKnownToLeave(
  { fleet, statements }: ForwardContext,
  server: BackendServer,
): boolean {
  return fleet.serverOf(server.id)?.status !== "ready" ||
    statements.isLeaving(server);
}
