/**
 * Names of model versions, such as `tagger@3`. A name is a single string, so
 * that settings, records and map keys can use it directly.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { ModelError } from "./error.ts";

/** A model and its version, as `model@version`. */
export type VersionName = `${string}@${string}`;

const VERSION_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}@[a-z0-9][a-z0-9._-]{0,30}$/;

/** Accepts a well-formed version name. */
export const versionNameSchema = z.custom<VersionName>(
  (value) => typeof value === "string" && VERSION_PATTERN.test(value),
  { error: "expected model@version in lower case" },
);

/** Parses a version name; the error quotes the malformed text. */
export function parseVersionName(
  text: string,
): Result<VersionName, ModelError> {
  const parsed = versionNameSchema.safeParse(text);
  if (parsed.success) return ok(parsed.data);
  return err(new ModelError(`"${text}" is not a model@version name`));
}

/** Returns the model part of a version name. */
export function modelOf(name: VersionName): string {
  return name.slice(0, name.lastIndexOf("@"));
}

/** Returns the version part of a version name. */
export function versionOf(name: VersionName): string {
  return name.slice(name.lastIndexOf("@") + 1);
}
