/** `goldcrestpost settings set PATH NAME=JSON...` edits one node. */
import { Args, Flags } from "@oclif/core";
import { Err, Ok, Result } from "ts-results-es";
import {
  DEFAULT_SETTINGS,
  type NodeSettings,
  type SettingName,
} from "../../model/mod.ts";
import { editFlags, SettingsCommand } from "../base.ts";
import { type CommandFault, faultOf } from "../exit_status.ts";
import { checkNode } from "../settings_check.ts";

const SETTING_NAMES = Object.keys(DEFAULT_SETTINGS);

/** Parses assignments such as `maxConcurrent=5`; reports all faults. */
export function parseAssignments(
  path: string,
  assignments: readonly string[],
): Result<NodeSettings, CommandFault> {
  const parsed = assignments.map(parseAssignment);
  const [pairs, faults] = Result.partition(parsed);
  if (faults.length > 0) return Err(faultOf("faultySettings", ...faults));
  return checkNode(path, Object.fromEntries(pairs))
    .map(({ node }) => node)
    .mapErr((lines) => faultOf("faultySettings", ...lines));
}

function parseAssignment(text: string): Result<[string, unknown], string> {
  const separatorIndex = text.indexOf("=");
  if (separatorIndex < 1) return Err(`"${text}": expected NAME=JSON`);
  const value = text.slice(separatorIndex + 1);
  try {
    return Ok([text.slice(0, separatorIndex), JSON.parse(value)]);
  } catch {
    return Ok([text.slice(0, separatorIndex), value]);
  }
}

/** Edits a node. */
export class SetCommand extends SettingsCommand {
  static override readonly summary: string =
    "Set or clear settings of one node; cleared settings are inherited";

  static override readonly strict: boolean = false;

  static override readonly args = {
    path: Args.string({ required: true, description: "settings path" }),
  };

  static override readonly flags = {
    ...editFlags,
    clear: Flags.string({
      description: "setting to clear; may be repeated",
      multiple: true,
      options: SETTING_NAMES,
      default: [],
    }),
  };

  /** Publishes the edit and waits until it is in force. */
  async run(): Promise<void> {
    const { args, argv, flags } = await this.parse(SetCommand);
    const path = this.parsePathArgument(args.path);
    const assignments = (argv as string[]).slice(1);
    const set = this.unwrapOrExit(parseAssignments(path, assignments));
    const clear = flags.clear as SettingName[];
    if (assignments.length === 0 && clear.length === 0) {
      this.fail(faultOf("faultySettings", "expected NAME=JSON or --clear"));
    }
    await this.publish(flags, () => ({ path, change: { set, clear } }));
  }
}
