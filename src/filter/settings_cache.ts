/**
 * A cache of resolved settings by path. It is cleared when a new settings tree
 * comes into force and when it is full.
 */
import { type Settings, type SettingsPath } from "../model/mod.ts";
import { type Journal } from "../client/mod.ts";
import { type SettingsReader } from "./context.ts";

const MAX_PATHS = 10_000;

/** Creates a reader of the settings in force that caches resolved paths. */
export function createSettingsReader(journal: Journal): SettingsReader {
  const cache = new Map<SettingsPath, Settings>();
  let tree = journal.control().tree;
  return (path) => {
    const current = journal.control().tree;
    if (current !== tree || cache.size >= MAX_PATHS) {
      tree = current;
      cache.clear();
    }
    const cached = cache.get(path);
    if (cached !== undefined) return cached;
    const settings = tree.resolve(path).values;
    cache.set(path, settings);
    return settings;
  };
}
