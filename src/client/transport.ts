/**
 * Helpers of the HTTP clients: classification of errors, and reading a body up
 * to a maximum size.
 */
import { ByteCollector } from "../model/mod.ts";

const UNSENT_CODES: readonly string[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
];

/** Whether an error proves that no byte of the request was written. */
export function isUnsent(cause: unknown): boolean {
  if (!(cause instanceof Error)) return false;
  if (cause instanceof AggregateError) return cause.errors.every(isUnsent);
  const code = (cause as NodeJS.ErrnoException).code ?? "";
  return UNSENT_CODES.includes(code);
}

/** A body exceeds its maximum size. */
export class BodyTooLongError extends Error {
  override readonly name = "BodyTooLongError";
}

/** Reads a complete body; throws if it exceeds `maxBytes`. */
export async function readBytes(
  body: AsyncIterable<unknown>,
  maxBytes: number,
): Promise<Uint8Array> {
  const collector = new ByteCollector();
  for await (const chunk of body) {
    collector.add(chunk as Uint8Array);
    if (collector.length > maxBytes) {
      throw new BodyTooLongError(`the body exceeds ${maxBytes} bytes`);
    }
  }
  return collector.concat();
}

/** Reads a complete body as UTF-8; throws if it exceeds `maxBytes`. */
export async function readBounded(
  body: AsyncIterable<unknown>,
  maxBytes: number,
): Promise<string> {
  return new TextDecoder().decode(await readBytes(body, maxBytes));
}
