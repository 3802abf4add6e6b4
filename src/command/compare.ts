/** `goldcrestpost compare A B` sets the summaries of two runs side by side. */
import { readFileSync } from "node:fs";
import { Args, Command } from "@oclif/core";
import { Err, Ok, type Result } from "ts-results-es";
import {
  type ComparedMetric,
  compareSummaries,
  parseRunSummary,
  type RunSummary,
} from "../report/run_summary.ts";

const BAD_INPUT_STATUS = 66;
const NAME_WIDTH = 34;
const FIGURE_WIDTH = 16;

/** The command that compares two summaries. */
export class CompareCommand extends Command {
  static override readonly summary: string =
    "Set the summaries of two measured runs side by side";

  static override readonly args = {
    first: Args.string({ required: true, description: "summary file" }),
    second: Args.string({ required: true, description: "summary file" }),
  };

  /** Prints one line for each figure. */
  async run(): Promise<void> {
    const { args } = await this.parse(CompareCommand);
    const first = readSummary(args.first);
    const second = readSummary(args.second);
    if (first.isErr()) this.error(first.error, { exit: BAD_INPUT_STATUS });
    if (second.isErr()) this.error(second.error, { exit: BAD_INPUT_STATUS });
    for (const figure of compareSummaries(first.value, second.value)) {
      this.log(lineOf(figure));
    }
  }
}

function readSummary(file: string): Result<RunSummary, string> {
  try {
    return parseRunSummary(readFileSync(file, "utf8")).match<
      Result<RunSummary, string>
    >(
      (summary) => Ok(summary),
      (error) => Err(`${file}: ${error.message}`),
    );
  } catch (error) {
    return Err(`${file}: ${String(error)}`);
  }
}

function lineOf(figure: ComparedMetric): string {
  const { changePercent } = figure;
  const change = changePercent === undefined
    ? ""
    : `${changePercent >= 0 ? "+" : ""}${changePercent.toFixed(1)} %`;
  return [
    figure.name.padEnd(NAME_WIDTH),
    figure.first.padStart(FIGURE_WIDTH),
    figure.second.padStart(FIGURE_WIDTH),
    change.padStart(FIGURE_WIDTH),
  ].join(" ").trimEnd();
}
