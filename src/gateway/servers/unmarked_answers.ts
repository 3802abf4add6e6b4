/**
 * Answers whose end only the close of their connection shows, which the end of a
 * process closes as well.
 */
import { isMeantEnd } from "../../decision/mod.ts";
import { connects } from "./connect_probe.ts";
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

/** Whether the server or VM at an address meant an end that it didn't mark. */
export async function isUnmarkedEndMeant(address: string): Promise<boolean> {
  const timeoutMs = PROBE_TIMEOUT_MS;
  const isSenderAlive = await connects(address, { timeoutMs });
  return isMeantEnd({ isMarked: false, isSenderAlive });
}
