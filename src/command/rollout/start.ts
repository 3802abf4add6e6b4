/** `goldcrestpost rollout start NAME` starts a roll-out. */
import { Args, Flags } from "@oclif/core";
import {
  type NodeSettings,
  parseVersionName,
  type RolloutPlan,
  ROOT_PATH,
  type VersionName,
} from "../../model/mod.ts";
import { editFlags, SettingsCommand } from "../base.ts";
import { faultOf } from "../exit_status.ts";
import { fromNeverthrow } from "../result_adapter.ts";
import { checkNode } from "../settings_check.ts";
import { putPlan } from "./plan_edit.ts";

const PERCENT = 100;

/** Starts a roll-out. */
export class RolloutStartCommand extends SettingsCommand {
  static override readonly summary: string =
    "Replace one version by another in steps of rising exposure";

  static override readonly args = {
    name: Args.string({ required: true, description: "new, unused name" }),
  };

  static override readonly flags = {
    ...editFlags,
    version: Flags.string({ required: true, description: "the new version" }),
    baseline: Flags.string({ required: true, description: "the old version" }),
    steps: Flags.string({
      description: "percent of sessions at each step, separated by commas",
      default: "1,5,25,100",
    }),
    "min-ratings": Flags.integer({
      description: "minimum number of ratings at each step",
      default: 50,
    }),
    "tolerated-loss": Flags.integer({
      description: "tolerated loss of mean score, in percent",
      default: 5,
    }),
    "false-stop": Flags.integer({
      description: "maximum probability of stopping a good version, in percent",
      default: 1,
    }),
  };

  /** Publishes the plan and waits until it is in force. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(RolloutStartCommand);
    const plan: RolloutPlan = {
      name: args.name,
      version: this.#versionOf(flags.version),
      baseline: this.#versionOf(flags.baseline),
      stepShares: flags.steps.split(",").map((step) => Number(step) / PERCENT),
      minRatings: flags["min-ratings"],
      toleratedLossShare: flags["tolerated-loss"] / PERCENT,
      falseStopShare: flags["false-stop"] / PERCENT,
      isPaused: false,
    };
    this.#check({ rollouts: [plan] });
    await this.publish(flags, ({ session }) => {
      const { tree, rollouts } = session.control;
      if (rollouts.has(plan.name)) {
        this.fail(faultOf(
          "faultySettings",
          `the roll-out ${plan.name} was started before; use a new name`,
        ));
      }
      return putPlan(tree, plan);
    });
  }

  #versionOf(text: string): VersionName {
    return this.unwrapOrExit(
      fromNeverthrow(parseVersionName(text)).mapErr((error) =>
        faultOf("faultySettings", error.message)
      ),
    );
  }

  #check(set: NodeSettings): void {
    this.unwrapOrExit(
      checkNode(ROOT_PATH, set).mapErr((lines) =>
        faultOf("faultySettings", ...lines)
      ),
    );
  }
}
