/** Ids of records: the same content gives the same id on every VM. */
import { createHash } from "node:crypto";

const ID_LENGTH = 40;

/** An id made from what a record says, with a prefix for its kind. */
export function contentId(kind: string, ...parts: readonly string[]): string {
  const text = JSON.stringify(parts);
  const hash = createHash("sha256").update(text).digest("hex");
  return `${kind}-${hash.slice(0, ID_LENGTH)}`;
}

/** A hash of a body, to tell whether a key came back with another one. */
export function hashBody(...parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    hash.update(String(part.length));
    hash.update(" ");
    hash.update(part);
  }
  return hash.digest("hex");
}
