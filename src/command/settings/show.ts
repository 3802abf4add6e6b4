/** `goldcrestpost settings show [PATH]` prints the settings in force. */
import { Args, Flags } from "@oclif/core";
import { operatorFlags, SettingsCommand } from "../base.ts";

/** Prints settings. */
export class ShowCommand extends SettingsCommand {
  static override readonly summary: string =
    "Print the settings in force at a path, or the tree of set values";

  static override readonly args = {
    path: Args.string({ default: "/", description: "settings path" }),
  };

  static override readonly flags = {
    ...operatorFlags,
    tree: Flags.boolean({
      description: "print the values that each node sets itself",
    }),
  };

  /** Prints JSON to standard output and the revision to standard error. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(ShowCommand);
    const path = this.parsePathArgument(args.path);
    await this.withSession(flags, ({ session }) => {
      const { tree, revision } = session.control;
      this.logToStderr(`revision ${revision}`);
      this.printJson(flags.tree ? tree.toJson() : tree.resolve(path).values);
      return Promise.resolve();
    });
  }
}
