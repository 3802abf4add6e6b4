/**
 * The text that engines produce. It depends only on request, version and index,
 * so that a reader can tell a whole answer from a cut or a crossed one, and any
 * engine of the same version can continue it.
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

/** Marks the words of an answer of poor quality. */
export const LOW_QUALITY_MARK = "~";

/** What an answer's text depends on. */
export interface AnswerKey {
  readonly requestId: string;
  readonly version: string;
  readonly maxTokens: number;
}

/** The number of frames of a whole answer: half to all of `maxTokens`. */
export function answerLength(key: AnswerKey): number {
  const half = Math.ceil(key.maxTokens / 2);
  const span = key.maxTokens - half + 1;
  return half + hash32(`${key.requestId} ${key.version} length`) % span;
}

/** The text of the frame at `index`. */
export function frameText(key: AnswerKey, index: number): string {
  const seed = hash32(`${key.requestId} ${key.version} ${index}`);
  const word = WORDS[seed % WORDS.length] ?? "word";
  return `${word}-${(seed >>> 8).toString(36)} `;
}

/** The text of frames `from` up to but not including `to`. */
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

/** The number of tokens of a text, at about four letters a token. */
export function tokenCount(text: string): number {
  return Math.ceil(text.length / 4);
}
