/**
 * Checks a settings tree in its JSON form. All faults are found in one pass:
 * those of each node, and those between nodes, such as an allowed version that
 * the catalogue does not know.
 */
import { Err, Ok, Result } from "ts-results-es";
import {
  describeIssue,
  type NodeSettings,
  nodeSettingsSchema,
  parsePath,
  ROOT_PATH,
  type SettingsPath,
  SettingsTree,
  type VersionName,
} from "../model/mod.ts";
import { fromNeverthrow } from "./result_adapter.ts";

/** One node of a checked tree. */
export interface CheckedNode {
  readonly path: SettingsPath;
  readonly node: NodeSettings;
}

/**
 * The age that settings reach while all is well: a long poll of the log, its
 * answer and a retry. Below it a VM would refuse requests for no cause.
 */
const MIN_STALE_MS = 5000;

/** The nodes of a tree, or every fault in it, one line each. */
export function checkTree(json: unknown): Result<CheckedNode[], string[]> {
  if (typeof json !== "object" || json === null || Array.isArray(json)) {
    return Err(["(top): expected an object of paths"]);
  }
  const checked = Object.entries(json).map(([key, value]) =>
    checkNode(key, value)
  );
  const [nodes, faults] = Result.partition(checked);
  const allFaults = [...faults.flat(), ...faultsBetween(nodes)];
  return allFaults.length === 0 ? Ok(nodes) : Err(allFaults);
}

/** A checked node of settings, or its faults with the path before each. */
export function checkNode(
  key: string,
  value: unknown,
): Result<CheckedNode, string[]> {
  const path = fromNeverthrow(parsePath(key)).mapErr((
    error,
  ) => [error.message]);
  const node = parseNode(key, value);
  const place = path.andThen((checked) => checkPlace(checked, value));
  if (path.isOk() && node.isOk() && place.isOk()) {
    return Ok({ path: path.value, node: node.value });
  }
  const parts = [place, node];
  return Err(parts.flatMap((part) => part.isErr() ? part.error : []));
}

/** Whether the node's settings may stand at this path. */
function checkPlace(
  path: SettingsPath,
  value: unknown,
): Result<unknown, string[]> {
  const set = Object(value) as NodeSettings;
  return fromNeverthrow(SettingsTree.empty.apply(path, { set, clear: [] }))
    .mapErr((error) => [`${path} ${error.message}`]);
}

function parseNode(
  key: string,
  value: unknown,
): Result<NodeSettings, string[]> {
  const parsed = nodeSettingsSchema.safeParse(value, { reportInput: true });
  if (parsed.success) return Ok(parsed.data);
  return Err(
    parsed.error.issues.map((issue) => `${key} ${describeIssue(issue)}`),
  );
}

function faultsBetween(nodes: readonly CheckedNode[]): string[] {
  const root = nodes.find(({ path }) => path === ROOT_PATH)?.node ?? {};
  const known = root.catalogue?.map(({ version }) => version);
  const faults: string[] = [];
  for (const { path, node } of nodes) {
    for (const version of versionsOf(node)) {
      if (known === undefined || known.includes(version)) continue;
      faults.push(`${path}: ${version} is not in the root's catalogue`);
    }
  }
  for (const { path, node } of nodes) {
    if ((node.staleAfterMs ?? MIN_STALE_MS) >= MIN_STALE_MS) continue;
    faults.push(`${path}: staleAfterMs is below ${MIN_STALE_MS}`);
  }
  const places = root.places?.map(({ place }) => place);
  for (const place of root.drainedPlaces ?? []) {
    if (places === undefined || places.includes(place)) continue;
    faults.push(`/ drainedPlaces: "${place}" is not among the places`);
  }
  return faults;
}

function versionsOf(node: NodeSettings): Set<VersionName> {
  const rollouts = node.rollouts ?? [];
  return new Set([
    ...node.allowed ?? [],
    ...(node.withdrawn ?? []).map(({ version }) => version),
    ...rollouts.flatMap(({ version, baseline }) => [version, baseline]),
  ]);
}
