/**
 * Paths in the settings tree. The root is `/`; the levels below it are region,
 * workspace and session, as in `/khomas/heritage/s-17`.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { ModelError } from "./error.ts";

export type SettingsPath = `/${string}`;

export const ROOT_PATH: SettingsPath = "/";

/** Depth of a session's path: region, workspace and session. */
export const MAX_PATH_DEPTH = 3;

const PATH_PATTERN = /^\/$|^(\/[A-Za-z0-9][A-Za-z0-9._-]{0,63}){1,3}$/;

/** Accepts a well-formed settings path. */
export const settingsPathSchema = z.custom<SettingsPath>(
  (value) => typeof value === "string" && PATH_PATTERN.test(value),
  { error: "expected a path such as /region/workspace/session" },
);

/** Parses a path; fails if a segment is malformed or the path is too deep. */
export function parsePath(text: string): Result<SettingsPath, ModelError> {
  const parsed = settingsPathSchema.safeParse(text);
  if (parsed.success) return ok(parsed.data);
  return err(new ModelError(`"${text}" is not a settings path`));
}

/** Number of segments: 0 for the root, up to {@link MAX_PATH_DEPTH}. */
export function depthOf(path: SettingsPath): number {
  return path === ROOT_PATH ? 0 : path.split("/").length - 1;
}

/** Returns the path's ancestors and the path itself, root first. */
export function lineageOf(path: SettingsPath): SettingsPath[] {
  const lineage: SettingsPath[] = [ROOT_PATH];
  if (path === ROOT_PATH) return lineage;
  let current = "";
  for (const segment of path.slice(1).split("/")) {
    current += `/${segment}`;
    lineage.push(current as SettingsPath);
  }
  return lineage;
}

/** Returns the parent's path, or `undefined` for the root. */
export function parentOf(path: SettingsPath): SettingsPath | undefined {
  if (path === ROOT_PATH) return undefined;
  const end = path.lastIndexOf("/");
  return end === 0 ? ROOT_PATH : path.slice(0, end) as SettingsPath;
}

/** Whether the paths are equal or one is an ancestor of the other. */
export function isSameLineage(a: SettingsPath, b: SettingsPath): boolean {
  return isAtOrBelow(a, b) || isAtOrBelow(b, a);
}

/** Whether `path` equals `ancestor` or is a descendant of it. */
export function isAtOrBelow(
  path: SettingsPath,
  ancestor: SettingsPath,
): boolean {
  if (ancestor === ROOT_PATH || path === ancestor) return true;
  return path.startsWith(`${ancestor}/`);
}

/** Builds the path of a session; fails if the session's name is malformed. */
export function sessionPath(
  workspace: SettingsPath,
  session: string,
): Result<SettingsPath, ModelError> {
  return parsePath(`${workspace}/${session}`);
}
