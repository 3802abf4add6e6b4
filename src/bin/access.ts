/** Access checks with the tokens of workspaces and operators. */
import { createHash, timingSafeEqual } from "node:crypto";
import { type SettingsPath } from "../model/mod.ts";
import { type ProcessSettings } from "./process_settings.ts";

/**
 * Returns a lookup of the token of a workspace, `undefined` if the settings have
 * none.
 */
export function createWorkspaceTokenLookup(
  settings: ProcessSettings,
): (workspace: SettingsPath) => string | undefined {
  const tokens = new Map(
    settings.access.workspaceTokens.map((item) => [item.workspace, item.token]),
  );
  return (workspace) => tokens.get(workspace);
}

/**
 * Returns a check whether a bearer token belongs to the operators. It accepts
 * every token if the settings have no operator token.
 */
export function createOperatorCheck(
  settings: ProcessSettings,
): (bearer: string | undefined) => boolean {
  const { operatorToken } = settings.access;
  if (operatorToken === "") return () => true;
  const expected = digestOf(operatorToken);
  return (bearer) => timingSafeEqual(digestOf(bearer ?? ""), expected);
}

function digestOf(text: string): Uint8Array {
  return createHash("sha256").update(text).digest();
}
