/** `goldcrestpost rollout pause NAME` pauses a roll-out at its step. */
import { Args, Flags } from "@oclif/core";
import { editFlags, SettingsCommand } from "../base.ts";
import { faultOf } from "../exit_status.ts";
import { findPlan, putPlan } from "./plan_edit.ts";

/** Pauses or resumes a roll-out. */
export class RolloutPauseCommand extends SettingsCommand {
  static override readonly summary: string =
    "Pause a roll-out at its step; a bad version is still withdrawn";

  static override readonly args = {
    name: Args.string({ required: true, description: "name of the roll-out" }),
  };

  static override readonly flags = {
    ...editFlags,
    undo: Flags.boolean({ description: "resume the roll-out" }),
  };

  /** Publishes the edit and waits until it is in force. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(RolloutPauseCommand);
    await this.publish(flags, ({ session }) => {
      const { tree } = session.control;
      const plan = findPlan(tree, args.name);
      if (plan === undefined) {
        return this.fail(
          faultOf("faultySettings", `there is no roll-out ${args.name}`),
        );
      }
      return putPlan(tree, { ...plan, isPaused: !flags.undo });
    });
  }
}
