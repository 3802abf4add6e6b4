/** `goldcrestpost settings wait [REVISION]` waits for a revision. */
import { Args } from "@oclif/core";
import { operatorFlags, SettingsCommand } from "../base.ts";

/** The command that waits. */
export class WaitCommand extends SettingsCommand {
  static override readonly summary: string =
    "Wait until a revision is in force on every live entry VM";

  static override readonly args = {
    revision: Args.integer({
      description: "revision; the newest in the log by default",
      min: 0,
    }),
  };

  static override readonly flags = operatorFlags;

  /** Names the VMs that have not the revision when the time is over. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(WaitCommand);
    await this.withSession(flags, async ({ operator, session }) => {
      const revision = args.revision ?? session.control.revision;
      await this.waitForRevision(revision, { operator, flags });
    });
  }
}
