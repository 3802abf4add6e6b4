/**
 * The versions that a path may use: its allowed list without the versions
 * withdrawn by any node on its lineage. Checked at dispatch and again at each
 * retry, escalation and resume.
 */
import { type Settings, type Withdrawal } from "./settings.ts";
import { type VersionName } from "./version.ts";

/** Returns the allowed versions that are not withdrawn, in settings order. */
export function usableVersions(settings: Settings): VersionName[] {
  return settings.allowed.filter((name) =>
    withdrawalOf(settings, name) === undefined
  );
}

/** Whether new work may run on `version` under these settings. */
export function isUsable(settings: Settings, version: VersionName): boolean {
  return settings.allowed.includes(version) &&
    withdrawalOf(settings, version) === undefined;
}

/**
 * Returns a version's withdrawal, if any node on the lineage withdrew it. One
 * that stops running answers takes precedence over one that lets them finish.
 */
export function withdrawalOf(
  settings: Settings,
  version: VersionName,
): Withdrawal | undefined {
  let found: Withdrawal | undefined;
  for (const withdrawal of settings.withdrawn) {
    if (withdrawal.version !== version) continue;
    if (withdrawal.running === "stop") return withdrawal;
    found = withdrawal;
  }
  return found;
}
