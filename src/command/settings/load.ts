/** `goldcrestpost settings load FILE` publishes a complete settings tree. */
import { userInfo } from "node:os";
import { isDeepStrictEqual } from "node:util";
import { Args, Flags } from "@oclif/core";
import {
  type NodeSettings,
  type SettingName,
  type SettingsChange,
  type SettingsPath,
  type SettingsTree,
} from "../../model/mod.ts";
import { editFlags, SettingsCommand } from "../base.ts";
import { faultOf } from "../exit_status.ts";
import { type CheckedNode } from "../settings_check.ts";
import { readTree } from "./check.ts";

/** Change of one node. */
export interface NodeChange {
  readonly path: SettingsPath;
  readonly change: SettingsChange;
}

/** Returns the changes that turn `tree` into `nodes`, root first. */
export function changesBetween(
  tree: SettingsTree,
  nodes: readonly CheckedNode[],
): NodeChange[] {
  const target = new Map(nodes.map(({ path, node }) => [path, node]));
  const paths = new Set([...target.keys(), ...tree.paths()]);
  const changes: NodeChange[] = [];
  for (const path of [...paths].sort()) {
    const change = changeOf(tree.nodeAt(path), target.get(path) ?? {});
    const names = [...Object.keys(change.set), ...change.clear];
    if (names.length > 0) changes.push({ path, change });
  }
  return changes;
}

function changeOf(current: NodeSettings, target: NodeSettings): SettingsChange {
  const names = Object.keys(current) as SettingName[];
  const set = Object.entries(target).filter(([name, value]) =>
    !isDeepStrictEqual(current[name as SettingName], value)
  );
  return {
    set: Object.fromEntries(set) as NodeSettings,
    clear: names.filter((name) => target[name] === undefined),
  };
}

/** Loads a settings tree. */
export class LoadCommand extends SettingsCommand {
  static override readonly summary: string =
    "Publish a complete settings tree, such as at the first start";

  static override readonly args = {
    file: Args.string({ required: true, description: "settings tree" }),
  };

  static override readonly flags = {
    ...editFlags,
    replace: Flags.boolean({
      description: "replace settings that are already in force",
    }),
  };

  /** Publishes one edit per changed node and waits until all are in force. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(LoadCommand);
    const nodes = this.unwrapOrExit(readTree(args.file));
    await this.withSession(flags, async ({ operator, session }) => {
      const { tree } = session.control;
      if (tree.paths().length > 0 && !flags.replace) {
        this.fail(
          faultOf("conflict", "settings are in force already; see --replace"),
        );
      }
      const author = flags.author ?? userInfo().username;
      let base = flags.base ?? session.control.revision;
      for (const change of changesBetween(tree, nodes)) {
        const edit = { ...change, base, author, note: flags.note };
        const decided = this.unwrapOrExit(await session.publish(edit));
        base = decided.position;
        this.log(`revision ${base}: ${change.path}`);
      }
      if (!flags["no-wait"]) {
        await this.waitForRevision(base, { operator, flags });
      }
    });
  }
}
