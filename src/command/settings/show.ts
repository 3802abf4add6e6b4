/** `goldcrestpost settings show [PATH]` prints settings in force. */
import { Args, Flags } from "@oclif/core";
import { operatorFlags, SettingsCommand } from "../base.ts";

/** The command that prints settings. */
export class ShowCommand extends SettingsCommand {
  static override readonly summary: string =
    "Print the settings in force at a path, or the tree as it was edited";

  static override readonly args = {
    path: Args.string({ default: "/", description: "settings path" }),
  };

  static override readonly flags = {
    ...operatorFlags,
    tree: Flags.boolean({ description: "print what each node sets itself" }),
  };

  /** Prints JSON, with the revision on standard error. */
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
