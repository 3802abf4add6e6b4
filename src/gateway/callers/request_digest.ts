/**
 * Tells whether two requests are the same but for their id, and names what a
 * request has in common with others under which a server may end.
 */
import { createHash } from "node:crypto";
import { digestPartId } from "../../decision/mod.ts";
import { type CallerRequest, sharedPartIds } from "../protocol.ts";

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

/** Returns the request's digest as a part, and the shared parts of its prompt. */
export function crashPartIds(
  { caller, digest }: {
    readonly caller: CallerRequest;
    readonly digest: string;
  },
): string[] {
  return [digestPartId(digest), ...sharedPartIds(caller)];
}
