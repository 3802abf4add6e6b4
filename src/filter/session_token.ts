/**
 * Signed session tokens. A token carries the version of a session, so that any
 * VM can continue the session without reading the log. The first key signs and
 * all keys verify, so that keys can be rotated without ending sessions.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import { z } from "zod";
import {
  type SettingsPath,
  settingsPathSchema,
  type VersionName,
  versionNameSchema,
} from "../model/mod.ts";

const MAX_TOKEN_LENGTH = 1024;

const claimsSchema = z.strictObject({
  session: settingsPathSchema,
  version: versionNameSchema,
});

/** Returns a signed token for a session; `undefined` if there is no key. */
export function signSession(
  session: SettingsPath,
  version: VersionName,
  keys: readonly string[],
): string | undefined {
  const key = keys[0];
  if (key === undefined) return undefined;
  const payload = Buffer.from(JSON.stringify({ session, version }))
    .toString("base64url");
  return `${payload}.${signatureOf(payload, key)}`;
}

/** Returns the version in a token, if the token is valid for this session. */
export function verifySession(
  token: string | undefined,
  session: SettingsPath,
  keys: readonly string[],
): VersionName | undefined {
  if (token === undefined || token.length > MAX_TOKEN_LENGTH) return undefined;
  const [payload = "", signature = ""] = token.split(".");
  if (
    !keys.some((key) =>
      isEqualInConstantTime(signatureOf(payload, key), signature)
    )
  ) {
    return undefined;
  }
  const claims = parseClaims(payload);
  return claims?.session === session ? claims.version : undefined;
}

function parseClaims(
  payload: string,
): z.infer<typeof claimsSchema> | undefined {
  try {
    const text = Buffer.from(payload, "base64url").toString("utf8");
    const parsed = claimsSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function signatureOf(payload: string, key: string): string {
  return createHmac("sha256", key).update(payload).digest("base64url");
}

function isEqualInConstantTime(expected: string, actual: string): boolean {
  const a = Buffer.from(expected);
  const b = Buffer.from(actual);
  return a.length === b.length && timingSafeEqual(a, b);
}
