/** `goldcrestpost settings check FILE` reports all faults of a tree. */
import { Args } from "@oclif/core";
import { SettingsCommand } from "../base.ts";
import { type CommandFault, faultOf } from "../exit_status.ts";
import { readJsonFile } from "../json_file.ts";
import { type CheckedNode, checkTree } from "../settings_check.ts";
import { type Result } from "ts-results-es";

/** Returns the nodes of the tree in a file, or all its faults. */
export function readTree(file: string): Result<CheckedNode[], CommandFault> {
  return readJsonFile(file).andThen((json) =>
    checkTree(json).mapErr((faults) => faultOf("faultySettings", ...faults))
  );
}

/** Checks a file. */
export class CheckCommand extends SettingsCommand {
  static override readonly summary: string =
    "Check a JSON file with a settings tree and print every fault in it";

  static override readonly args = {
    file: Args.string({ required: true, description: "settings tree" }),
  };

  /** Prints the faults, or the number of nodes if there are none. */
  async run(): Promise<void> {
    const { args } = await this.parse(CheckCommand);
    const nodes = this.unwrapOrExit(readTree(args.file));
    this.log(`${args.file}: ${nodes.length} nodes, no faults`);
  }
}
