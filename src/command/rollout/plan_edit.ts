/** Edits of the list of roll-outs at the root. */
import {
  type NodeSettings,
  type RolloutPlan,
  ROOT_PATH,
  type SettingsChange,
  type SettingsPath,
  type SettingsTree,
} from "../../model/mod.ts";

/** An edit of the root. */
export interface RootEdit {
  readonly path: SettingsPath;
  readonly change: SettingsChange;
}

/** The root's plan of this name. */
export function findPlan(
  tree: SettingsTree,
  name: string,
): RolloutPlan | undefined {
  return tree.nodeAt(ROOT_PATH).rollouts?.find((plan) => plan.name === name);
}

/** The edit that adds a plan or puts it in the place of its namesake. */
export function putPlan(tree: SettingsTree, plan: RolloutPlan): RootEdit {
  const others = tree.nodeAt(ROOT_PATH).rollouts ?? [];
  const rollouts = [
    ...others.filter((other) => other.name !== plan.name),
    plan,
  ];
  return rootEdit({ rollouts });
}

/** The edit that withdraws a version at the root. */
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
