/**
 * The settings tree: an immutable map from path to what that node sets itself.
 * `resolve` gives the values in force at a path and the node each came from.
 */
import { Map as PersistentMap } from "immutable";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { ModelError } from "./error.ts";
import {
  depthOf,
  MAX_PATH_DEPTH,
  parentOf,
  parsePath,
  ROOT_PATH,
  type SettingsPath,
} from "./path.ts";
import {
  DEFAULT_SETTINGS,
  type NodeSettings,
  nodeSettingsSchema,
  ROOT_ONLY_SETTINGS,
  type SettingName,
  type Settings,
} from "./settings.ts";

/** The node a resolved value came from; `default` where no node sets it. */
export type SettingOrigin = SettingsPath | "default";

/** The values in force at one path, each with its origin. */
export interface ResolvedSettings {
  readonly path: SettingsPath;
  readonly values: Settings;
  readonly origins: Readonly<Record<SettingName, SettingOrigin>>;
}

/** A change of one node: fields to set, and fields to inherit again. */
export interface SettingsChange {
  readonly set: NodeSettings;
  readonly clear: readonly SettingName[];
}

/** Resolved paths that one tree keeps. */
const MAX_RESOLVED = 10_000;

const SETTING_NAMES = Object.keys(DEFAULT_SETTINGS) as SettingName[];

/** Codec of a {@link SettingsChange}. */
export const settingsChangeSchema = z.strictObject({
  set: nodeSettingsSchema,
  clear: z.array(z.enum(SETTING_NAMES as [SettingName, ...SettingName[]])),
});

/** An immutable settings tree. */
export class SettingsTree {
  readonly #nodes: PersistentMap<SettingsPath, NodeSettings>;
  /** Resolved paths, a cache: a tree never changes. */
  readonly #resolved = new Map<SettingsPath, ResolvedSettings>();

  private constructor(nodes: PersistentMap<SettingsPath, NodeSettings>) {
    this.#nodes = nodes;
  }

  /** The tree in which no node sets anything. */
  static readonly empty: SettingsTree = new SettingsTree(PersistentMap());

  /** Builds a tree from its JSON form, an object of path to settings. */
  static fromJson(json: unknown): Result<SettingsTree, ModelError> {
    if (typeof json !== "object" || json === null || Array.isArray(json)) {
      return err(new ModelError("a settings tree is an object of paths"));
    }
    let tree = SettingsTree.empty;
    for (const [key, value] of Object.entries(json)) {
      const path = parsePath(key);
      if (path.isErr()) return err(path.error);
      const node = nodeSettingsSchema.safeParse(value);
      if (!node.success) return err(faultOf(key, node.error));
      const next = tree.apply(path.value, { set: node.data, clear: [] });
      if (next.isErr()) return err(next.error);
      tree = next.value;
    }
    return ok(tree);
  }

  /** The tree as an object of path to settings, paths sorted. */
  toJson(): Record<string, NodeSettings> {
    return Object.fromEntries(
      [...this.#nodes].sort(([a], [b]) => (a < b ? -1 : 1)),
    );
  }

  /** The paths of all nodes that set something. */
  paths(): SettingsPath[] {
    return [...this.#nodes.keys()];
  }

  /** What the node at `path` sets itself. */
  nodeAt(path: SettingsPath): NodeSettings {
    return this.#nodes.get(path) ?? {};
  }

  /** A tree with one node changed, or the rule that the change breaks. */
  apply(
    path: SettingsPath,
    change: SettingsChange,
  ): Result<SettingsTree, ModelError> {
    const fault = brokenRule(path, change);
    if (fault !== undefined) return err(new ModelError(fault));
    const node: Record<string, unknown> = {
      ...this.nodeAt(path),
      ...change.set,
    };
    for (const name of change.clear) delete node[name];
    const isEmpty = Object.keys(node).length === 0;
    const nodes = isEmpty
      ? this.#nodes.delete(path)
      : this.#nodes.set(path, node as NodeSettings);
    return ok(new SettingsTree(nodes));
  }

  /** The values in force at `path`, whether or not a node stands there. */
  resolve(path: SettingsPath): ResolvedSettings {
    const known = this.#resolved.get(path);
    if (known !== undefined) return known;
    const parent = parentOf(path);
    if (parent !== undefined && !this.#nodes.has(path)) {
      return { ...this.resolve(parent), path };
    }
    const resolved = resolveNode({
      path,
      node: this.nodeAt(path),
      inherited: parent === undefined ? INHERITED : this.resolve(parent),
    });
    if (this.#resolved.size >= MAX_RESOLVED) this.#resolved.clear();
    this.#resolved.set(path, resolved);
    return resolved;
  }
}

const INHERITED: ResolvedSettings = {
  path: ROOT_PATH,
  values: DEFAULT_SETTINGS,
  origins: Object.fromEntries(
    SETTING_NAMES.map((name) => [name, "default"]),
  ) as Record<SettingName, SettingOrigin>,
};

interface NodeOptions {
  readonly path: SettingsPath;
  readonly node: NodeSettings;
  readonly inherited: ResolvedSettings;
}

function resolveNode(options: NodeOptions): ResolvedSettings {
  const { path, node, inherited } = options;
  const origins: Record<string, SettingOrigin> = { ...inherited.origins };
  for (const name of Object.keys(node)) origins[name] = path;
  const withdrawn = [...inherited.values.withdrawn, ...(node.withdrawn ?? [])];
  return {
    path,
    values: { ...inherited.values, ...node, withdrawn } as Settings,
    origins: origins as Record<SettingName, SettingOrigin>,
  };
}

function brokenRule(
  path: SettingsPath,
  change: SettingsChange,
): string | undefined {
  if (depthOf(path) > MAX_PATH_DEPTH) return `${path} is too deep`;
  for (const name of ROOT_ONLY_SETTINGS) {
    if (path !== ROOT_PATH && change.set[name] !== undefined) {
      return `"${name}" may be set only at the root`;
    }
  }
  for (const name of change.clear) {
    if (change.set[name] !== undefined) {
      return `"${name}" is both set and cleared`;
    }
  }
  return undefined;
}

function faultOf(key: string, error: z.ZodError): ModelError {
  const issue = error.issues[0];
  const where = issue === undefined ? "" : `.${issue.path.join(".")}`;
  return new ModelError(`${key}${where}: ${issue?.message ?? "not valid"}`);
}
