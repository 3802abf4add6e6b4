/** Finds files in a folder tree, for the checks and the test run. */
import { readdirSync } from "node:fs";
import { join } from "node:path";

/** Returns the sorted paths of files in `folder` that end with `suffix`. */
export function listFiles(folder: string, suffix: string): string[] {
  const found: string[] = [];
  for (const item of readdirSync(folder, { withFileTypes: true })) {
    const path = join(folder, item.name);
    if (item.isDirectory()) found.push(...listFiles(path, suffix));
    else if (item.name.endsWith(suffix)) found.push(path);
  }
  return found.sort();
}
