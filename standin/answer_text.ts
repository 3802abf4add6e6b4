/**
 * The text that engine stand-ins generate. It depends only on the request, the
 * version and the frame index, so that tests can detect truncated answers and
 * frames of other requests, and any engine with the same version can continue
 * an answer.
 */
import { hash32 } from "./random.ts";

const WORDS = [
  "archive",
  "claim",
  "elder",
  "field",
  "grant",
  "harvest",
  "ledger",
  "panel",
  "receipt",
  "river",
  "season",
  "witness",
] as const;

/** Prefix of each word in a low-quality answer. */
export const LOW_QUALITY_MARK = "~";

/** The request fields that determine an answer's text. */
export interface AnswerKey {
  readonly requestId: string;
  readonly version: string;
  readonly maxTokens: number;
}

/** The frame count of a complete answer: half to all of `maxTokens`. */
export function answerLength(key: AnswerKey): number {
  const half = Math.ceil(key.maxTokens / 2);
  const span = key.maxTokens - half + 1;
  return half + hash32(`${key.requestId} ${key.version} length`) % span;
}

/** Returns the text of the frame at `index`. */
export function frameText(key: AnswerKey, index: number): string {
  const seed = hash32(`${key.requestId} ${key.version} ${index}`);
  const word = WORDS[seed % WORDS.length] ?? "word";
  return `${word}-${(seed >>> 8).toString(36)} `;
}

/** Returns the text of frames `from` (inclusive) to `to` (exclusive). */
export function answerText(
  key: AnswerKey,
  range: { readonly from?: number; readonly to?: number } = {},
): string {
  const to = range.to ?? answerLength(key);
  let text = "";
  for (let index = range.from ?? 0; index < to; index += 1) {
    text += frameText(key, index);
  }
  return text;
}

/** Estimates the token count of a text at about four characters per token. */
export function tokenCount(text: string): number {
  return Math.ceil(text.length / 4);
}
