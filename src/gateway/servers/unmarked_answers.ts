/**
 * Answers whose end only the close of their connection shows, which the end of a
 * process closes as well.
 */
import {
  judgeUnmarkedEnd,
  type UnmarkedEndVerdict,
} from "../../decision/mod.ts";
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

/** Judges an unmarked end, just read, of the server or VM at an address. */
export async function judgeEndOf(
  { isReadingLate = (): boolean => false }: ForwardContext,
  { address, isReplaced = (): boolean => false }: {
    readonly address: string;
    readonly isReplaced?: () => boolean;
  },
): Promise<UnmarkedEndVerdict> {
  const isReadInTime = !isReadingLate();
  const timeoutMs = PROBE_TIMEOUT_MS;
  const isSenderListening = await connects(address, { timeoutMs });
  const isSenderReplaced = isReplaced();
  return judgeUnmarkedEnd({
    isReadInTime,
    isSenderListening,
    isSenderReplaced,
  });
}
