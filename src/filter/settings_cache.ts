/**
 * Resolved settings by path, for the tree in force. A new tree empties the
 * cache; it is bounded, and is emptied when it is full.
 */
import { type Settings, type SettingsPath } from "../model/mod.ts";
import { type Journal } from "../client/mod.ts";
import { type SettingsReader } from "./context.ts";

const MAX_PATHS = 10_000;

/** Reads the settings in force at a path. */
export function createSettingsReader(journal: Journal): SettingsReader {
  const cache = new Map<SettingsPath, Settings>();
  let tree = journal.control().tree;
  return (path) => {
    const current = journal.control().tree;
    if (current !== tree || cache.size >= MAX_PATHS) {
      tree = current;
      cache.clear();
    }
    const known = cache.get(path);
    if (known !== undefined) return known;
    const settings = tree.resolve(path).values;
    cache.set(path, settings);
    return settings;
  };
}
