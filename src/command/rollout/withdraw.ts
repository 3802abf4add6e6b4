/** `goldcrestpost rollout withdraw NAME` withdraws a roll-out's version. */
import { Args, Flags } from "@oclif/core";
import { editFlags, SettingsCommand } from "../base.ts";
import { faultOf } from "../exit_status.ts";
import { findPlan, withdrawVersion } from "./plan_edit.ts";

/** Withdraws a roll-out's version everywhere. */
export class RolloutWithdrawCommand extends SettingsCommand {
  static override readonly summary: string =
    "Withdraw the version of a roll-out everywhere";

  static override readonly args = {
    name: Args.string({ required: true, description: "name of the roll-out" }),
  };

  static override readonly flags = {
    ...editFlags,
    running: Flags.option({
      description: "whether running answers finish or stop",
      options: ["finish", "stop"] as const,
      default: "finish" as const,
    })(),
  };

  /** Publishes the edit and waits until it is in force. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(RolloutWithdrawCommand);
    await this.publish(flags, ({ session }) => {
      const { tree } = session.control;
      const plan = findPlan(tree, args.name);
      if (plan === undefined) {
        return this.fail(
          faultOf("faultySettings", `there is no roll-out ${args.name}`),
        );
      }
      const { version } = plan;
      return withdrawVersion(tree, { version, running: flags.running });
    });
  }
}
