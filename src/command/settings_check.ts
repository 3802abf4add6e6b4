/**
 * Checks a settings tree in JSON form. Reports all faults at once: those within
 * a node and those between nodes, such as an allowed version that is missing
 * from the catalogue.
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
 * Minimum of `staleAfterMs`: the age that settings reach in normal operation,
 * by a long poll of the log, its response and a retry. With a lower value a VM
 * would refuse requests although the log is available.
 */
const MIN_STALE_MS = 5000;

/** Returns the nodes of a tree, or all its faults, one line each. */
export function checkTree(json: unknown): Result<CheckedNode[], string[]> {
  if (typeof json !== "object" || json === null || Array.isArray(json)) {
    return Err(["(top): expected an object of paths"]);
  }
  const checked = Object.entries(json).map(([key, value]) =>
    checkNode(key, value)
  );
  const [nodes, faults] = Result.partition(checked);
  const allFaults = [...faults.flat(), ...crossNodeFaults(nodes)];
  return allFaults.length === 0 ? Ok(nodes) : Err(allFaults);
}

/** Returns a checked node, or its faults, each prefixed with the path. */
export function checkNode(
  key: string,
  value: unknown,
): Result<CheckedNode, string[]> {
  const path = fromNeverthrow(parsePath(key)).mapErr((
    error,
  ) => [error.message]);
  const node = parseNode(key, value);
  const permitted = path.andThen((parsed) => checkPath(parsed, value));
  if (path.isOk() && node.isOk() && permitted.isOk()) {
    return Ok({ path: path.value, node: node.value });
  }
  const checks = [permitted, node];
  return Err(checks.flatMap((check) => check.isErr() ? check.error : []));
}

/** Checks that the settings of a node are permitted at its path. */
function checkPath(
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

function crossNodeFaults(nodes: readonly CheckedNode[]): string[] {
  const root = nodes.find(({ path }) => path === ROOT_PATH)?.node ?? {};
  const catalogued = root.catalogue?.map(({ version }) => version);
  const faults: string[] = [];
  for (const { path, node } of nodes) {
    for (const version of referencedVersions(node)) {
      if (catalogued === undefined || catalogued.includes(version)) continue;
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

function referencedVersions(node: NodeSettings): Set<VersionName> {
  const rollouts = node.rollouts ?? [];
  return new Set([
    ...node.allowed ?? [],
    ...(node.withdrawn ?? []).map(({ version }) => version),
    ...rollouts.flatMap(({ version, baseline }) => [version, baseline]),
  ]);
}
