/**
 * Walks the source tree. Shared by the checks that read sources as text.
 */
import { readdirSync } from "node:fs";
import { join } from "node:path";

/** Lists the files below `folder` whose name ends with `suffix`, sorted. */
export function listFiles(folder: string, suffix: string): string[] {
  const found: string[] = [];
  for (const item of readdirSync(folder, { withFileTypes: true })) {
    const path = join(folder, item.name);
    if (item.isDirectory()) found.push(...listFiles(path, suffix));
    else if (item.name.endsWith(suffix)) found.push(path);
  }
  return found.sort();
}
