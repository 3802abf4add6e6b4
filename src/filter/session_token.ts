/**
 * Signed session tokens. A token carries the version of a session, so that any
 * VM can honour it without a read. The first key signs; every key verifies, so
 * that keys can be replaced without ending sessions.
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

/** Signs the version of a session; no token without a key. */
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

/** The version that a valid token of this session names. */
export function verifySession(
  token: string | undefined,
  session: SettingsPath,
  keys: readonly string[],
): VersionName | undefined {
  if (token === undefined || token.length > MAX_TOKEN_LENGTH) return undefined;
  const [payload = "", signature = ""] = token.split(".");
  if (!keys.some((key) => isSame(signatureOf(payload, key), signature))) {
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

function isSame(expected: string, given: string): boolean {
  const a = Buffer.from(expected);
  const b = Buffer.from(given);
  return a.length === b.length && timingSafeEqual(a, b);
}
