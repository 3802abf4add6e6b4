/** Who may call: tokens of workspaces and of operators, from the settings. */
import { createHash, timingSafeEqual } from "node:crypto";
import { type SettingsPath } from "../model/mod.ts";
import { type ProcessSettings } from "./process_settings.ts";

/** The token of a workspace; `undefined` where none is set. */
export function createWorkspaceTokenLookup(
  settings: ProcessSettings,
): (workspace: SettingsPath) => string | undefined {
  const tokens = new Map(
    settings.access.workspaceTokens.map((one) => [one.workspace, one.token]),
  );
  return (workspace) => tokens.get(workspace);
}

/** Whether a bearer token is the operators'; all are where none is set. */
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
