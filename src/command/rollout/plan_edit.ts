/** Edits of the roll-out plans and withdrawals at the root. */
import {
  type NodeSettings,
  type RolloutPlan,
  ROOT_PATH,
  type SettingsChange,
  type SettingsPath,
  type SettingsTree,
} from "../../model/mod.ts";

/** Edit of the root node. */
export interface RootEdit {
  readonly path: SettingsPath;
  readonly change: SettingsChange;
}

/** Returns the root's roll-out plan of this name. */
export function findPlan(
  tree: SettingsTree,
  name: string,
): RolloutPlan | undefined {
  return tree.nodeAt(ROOT_PATH).rollouts?.find((plan) => plan.name === name);
}

/** Creates an edit that adds a plan or replaces the one of the same name. */
export function putPlan(tree: SettingsTree, plan: RolloutPlan): RootEdit {
  const others = tree.nodeAt(ROOT_PATH).rollouts ?? [];
  const rollouts = [
    ...others.filter((other) => other.name !== plan.name),
    plan,
  ];
  return rootEdit({ rollouts });
}

/** Creates an edit that withdraws a version at the root. */
export function withdrawVersion(
  tree: SettingsTree,
  withdrawal: NonNullable<NodeSettings["withdrawn"]>[number],
): RootEdit {
  const others = tree.nodeAt(ROOT_PATH).withdrawn ?? [];
  const withdrawn = [
    ...others.filter((other) => other.version !== withdrawal.version),
    withdrawal,
  ];
  return rootEdit({ withdrawn });
}

function rootEdit(set: NodeSettings): RootEdit {
  return { path: ROOT_PATH, change: { set, clear: [] } };
}
