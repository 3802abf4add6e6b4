/** `goldcrestpost settings explain PATH` shows the origin of each value. */
import { Args } from "@oclif/core";
import { type SettingName } from "../../model/mod.ts";
import { operatorFlags, SettingsCommand } from "../base.ts";

const NAME_WIDTH = 26;
const ORIGIN_WIDTH = 28;

/** Shows the values in force and their origins. */
export class ExplainCommand extends SettingsCommand {
  static override readonly summary: string =
    "Print each value in force at a path and the node that sets it";

  static override readonly args = {
    path: Args.string({ required: true, description: "settings path" }),
  };

  static override readonly flags = operatorFlags;

  /** Prints one line per setting. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(ExplainCommand);
    const path = this.parsePathArgument(args.path);
    await this.withSession(flags, ({ session }) => {
      const { values, origins } = session.control.tree.resolve(path);
      for (const name of Object.keys(values).sort() as SettingName[]) {
        const origin = name === "withdrawn" && origins[name] !== "default"
          ? "all nodes along the path"
          : origins[name];
        const value = JSON.stringify(values[name]);
        const label = name.padEnd(NAME_WIDTH);
        this.log(`${label} ${origin.padEnd(ORIGIN_WIDTH)} ${value}`);
      }
      return Promise.resolve();
    });
  }
}
