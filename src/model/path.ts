/**
 * Paths in the settings tree. The root is `/`; below it stand a region, a
 * workspace and a session: `/khomas/heritage/s-17`.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { ModelError } from "./error.ts";

/** A path in the settings tree. */
export type SettingsPath = `/${string}`;

/** The path of the tree's root. */
export const ROOT_PATH: SettingsPath = "/";

/** Root, region, workspace and session. */
export const MAX_PATH_DEPTH = 3;

const PATH_PATTERN = /^\/$|^(\/[A-Za-z0-9][A-Za-z0-9._-]{0,63}){1,3}$/;

/** Accepts a well-formed settings path. */
export const settingsPathSchema = z.custom<SettingsPath>(
  (value) => typeof value === "string" && PATH_PATTERN.test(value),
  { error: "expected a path such as /region/workspace/session" },
);

/** Reads a path; fails when a step is malformed or the path is too deep. */
export function parsePath(text: string): Result<SettingsPath, ModelError> {
  const parsed = settingsPathSchema.safeParse(text);
  if (parsed.success) return ok(parsed.data);
  return err(new ModelError(`"${text}" is not a settings path`));
}

/** The number of steps below the root: 0 to {@link MAX_PATH_DEPTH}. */
export function depthOf(path: SettingsPath): number {
  return path === ROOT_PATH ? 0 : path.split("/").length - 1;
}

/** The path's own ancestors and itself, root first. */
export function lineageOf(path: SettingsPath): SettingsPath[] {
  const lineage: SettingsPath[] = [ROOT_PATH];
  if (path === ROOT_PATH) return lineage;
  let current = "";
  for (const step of path.slice(1).split("/")) {
    current += `/${step}`;
    lineage.push(current as SettingsPath);
  }
  return lineage;
}

/** The path one step up; the root has none. */
export function parentOf(path: SettingsPath): SettingsPath | undefined {
  if (path === ROOT_PATH) return undefined;
  const end = path.lastIndexOf("/");
  return end === 0 ? ROOT_PATH : path.slice(0, end) as SettingsPath;
}

/** Whether one path is the other, above it or below it. */
export function isSameLineage(a: SettingsPath, b: SettingsPath): boolean {
  return isAtOrBelow(a, b) || isAtOrBelow(b, a);
}

/** Whether `path` is `ancestor` or stands anywhere below it. */
export function isAtOrBelow(
  path: SettingsPath,
  ancestor: SettingsPath,
): boolean {
  if (ancestor === ROOT_PATH || path === ancestor) return true;
  return path.startsWith(`${ancestor}/`);
}

/** The path of a workspace's session. */
export function sessionPath(
  workspace: SettingsPath,
  session: string,
): Result<SettingsPath, ModelError> {
  return parsePath(`${workspace}/${session}`);
}
