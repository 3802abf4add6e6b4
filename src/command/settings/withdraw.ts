/** `goldcrestpost settings withdraw PATH VERSION` withdraws a version. */
import { Args, Flags } from "@oclif/core";
import { parseVersionName, type Withdrawal } from "../../model/mod.ts";
import { editFlags, SettingsCommand } from "../base.ts";
import { faultOf } from "../exit_status.ts";
import { fromNeverthrow } from "../result_adapter.ts";

/** Withdraws a version or ends a withdrawal. */
export class WithdrawCommand extends SettingsCommand {
  static override readonly summary: string =
    "Withdraw a version from a path and everything below it";

  static override readonly args = {
    path: Args.string({ required: true, description: "settings path" }),
    version: Args.string({ required: true, description: "model@version" }),
  };

  static override readonly flags = {
    ...editFlags,
    running: Flags.option({
      description: "whether running answers finish or stop",
      options: ["finish", "stop"] as const,
      default: "finish" as const,
    })(),
    undo: Flags.boolean({ description: "end the withdrawal at this path" }),
  };

  /** Publishes the edit and waits until it is in force. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(WithdrawCommand);
    const path = this.parsePathArgument(args.path);
    const version = this.unwrapOrExit(
      fromNeverthrow(parseVersionName(args.version)).mapErr((error) =>
        faultOf("faultySettings", error.message)
      ),
    );
    const added: Withdrawal[] = flags.undo
      ? []
      : [{ version, running: flags.running }];
    await this.publish(flags, ({ session }) => {
      const node = session.control.tree.nodeAt(path);
      const others = (node.withdrawn ?? []).filter((withdrawal) =>
        withdrawal.version !== version
      );
      return {
        path,
        change: { set: { withdrawn: [...others, ...added] }, clear: [] },
      };
    });
  }
}
