/** Ids of records, derived from content, so that all VMs derive the same id. */
import { createHash } from "node:crypto";

const ID_LENGTH = 40;

/** Returns the hash of `parts` as an id, prefixed with `kind`. */
export function contentId(kind: string, ...parts: readonly string[]): string {
  const text = JSON.stringify(parts);
  const hash = createHash("sha256").update(text).digest("hex");
  return `${kind}-${hash.slice(0, ID_LENGTH)}`;
}

/**
 * Returns a hash of a request body. It detects a retry of an idempotency key
 * with a different body.
 */
export function hashBody(...parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    hash.update(String(part.length));
    hash.update(" ");
    hash.update(part);
  }
  return hash.digest("hex");
}
