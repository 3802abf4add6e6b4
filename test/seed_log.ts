/** Writes a settings tree to the log's stand-in as published edits. */
import {
  type NodeSettings,
  type SettingsPath,
  type SettingsTree,
} from "../src/model/mod.ts";
import {
  encodeBatch,
  type Position,
  positionOf,
  START_POSITION,
} from "../src/state/mod.ts";
import { type LogStandin } from "../standin/mod.ts";

const CONTROL_STREAM = "control";

/** Appends one edit for each node and returns the newest revision. */
export function seedTree(log: LogStandin, tree: SettingsTree): Position {
  let base = START_POSITION;
  for (const [path, set] of Object.entries(tree.toJson())) {
    base = seedEdit(log, { path: path as SettingsPath, set, base });
  }
  return base;
}

export interface SeedEdit {
  readonly path: SettingsPath;
  readonly set: NodeSettings;
  readonly base: Position;
}

/** Appends one edit and returns its position. */
export function seedEdit(log: LogStandin, edit: SeedEdit): Position {
  const payload = encodeBatch([{
    id: `seed:${log.recorded.appends.length}`,
    kind: "edit",
    path: edit.path,
    change: { set: edit.set, clear: [] },
    base: edit.base,
    author: "seed",
    note: "",
  }]);
  return positionOf(log.append(CONTROL_STREAM, payload), 0);
}
