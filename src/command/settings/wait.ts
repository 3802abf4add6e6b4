/** `goldcrestpost settings wait [REVISION]` waits for a revision. */
import { Args } from "@oclif/core";
import { operatorFlags, SettingsCommand } from "../base.ts";

/** Waits until a revision is in force. */
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

  /** Waits; prints the lagging VMs if the timeout expires. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(WaitCommand);
    await this.withSession(flags, async ({ operator, session }) => {
      const revision = args.revision ?? session.control.revision;
      await this.waitForRevision(revision, { operator, flags });
    });
  }
}
