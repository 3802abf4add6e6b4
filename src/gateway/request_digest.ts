/** Tells whether two requests are the same but for their id. */
import { createHash } from "node:crypto";
import { type CallerRequest } from "./protocol.ts";

const DIGEST_LENGTH = 16;

/** Returns a name of a request by its caller, method, target and body. */
export function requestDigest(
  { method, host, target, key }: CallerRequest,
  body: Buffer,
): string {
  return createHash("sha1")
    .update(JSON.stringify([method, host, target, key ?? null]))
    .update(body)
    .digest("base64url")
    .slice(0, DIGEST_LENGTH);
}
