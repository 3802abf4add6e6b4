/** `goldcrestpost rollout status` shows the progress of each roll-out. */
import {
  exposureShareOf,
  meanOf,
  type RolloutDecision,
  VersionWatch,
} from "../../decision/mod.ts";
import { REQUEST_CLASSES, type VersionName } from "../../model/mod.ts";
import { operatorFlags, SettingsCommand } from "../base.ts";

const NO_VM = "";

/** Status of one roll-out, as printed. */
export interface RolloutStatus {
  readonly name: string;
  readonly version: VersionName;
  readonly baseline: VersionName;
  readonly verdict: string;
  readonly stepIndex: number;
  readonly exposureShare: number;
  readonly isPaused: boolean;
  /** Next decision, based on the ratings published so far. */
  readonly next: string;
  readonly reason: string;
  readonly ratings: readonly ClassRatings[];
}

interface ClassRatings {
  readonly requestClass: string;
  readonly versionCount: number;
  readonly versionMeanShare: number;
  readonly baselineCount: number;
  readonly baselineMeanShare: number;
}

/** Shows the progress of each roll-out. */
export class RolloutStatusCommand extends SettingsCommand {
  static override readonly summary: string =
    "Show the progress of each roll-out";

  static override readonly flags = { ...operatorFlags };

  /** Prints all roll-outs of the root as JSON. */
  async run(): Promise<void> {
    const { flags } = await this.parse(RolloutStatusCommand);
    await this.withSession(flags, ({ session }) => {
      const watch = VersionWatch.create(NO_VM, session.control);
      this.printJson(watch.decisions.map(statusOf));
      return Promise.resolve();
    });
  }
}

function statusOf({ input, verdict }: RolloutDecision): RolloutStatus {
  const { plan, progress } = input;
  return {
    name: plan.name,
    version: plan.version,
    baseline: plan.baseline,
    verdict: progress?.step.verdict ?? "not started",
    stepIndex: progress?.step.stepIndex ?? 0,
    exposureShare: exposureShareOf(plan, progress),
    isPaused: plan.isPaused,
    next: verdict.kind === "hold" ? `hold: ${verdict.reason}` : verdict.kind,
    reason: progress?.step.reason ?? "",
    ratings: REQUEST_CLASSES.map((requestClass) => {
      const version = input.quality.totalSumOf(plan.version, requestClass);
      const baseline = input.quality.totalSumOf(plan.baseline, requestClass);
      return {
        requestClass,
        versionCount: version.count,
        versionMeanShare: meanOf(version),
        baselineCount: baseline.count,
        baselineMeanShare: meanOf(baseline),
      };
    }),
  };
}
