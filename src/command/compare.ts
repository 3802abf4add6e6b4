/** `goldcrestpost compare A B` compares the summaries of two runs. */
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
const VALUE_WIDTH = 16;

/** Compares two run summaries. */
export class CompareCommand extends Command {
  static override readonly summary: string =
    "Compare the summaries of two measured runs";

  static override readonly args = {
    first: Args.string({ required: true, description: "summary file" }),
    second: Args.string({ required: true, description: "summary file" }),
  };

  /** Prints one line per metric. */
  async run(): Promise<void> {
    const { args } = await this.parse(CompareCommand);
    const first = readSummary(args.first);
    const second = readSummary(args.second);
    if (first.isErr()) this.error(first.error, { exit: BAD_INPUT_STATUS });
    if (second.isErr()) this.error(second.error, { exit: BAD_INPUT_STATUS });
    for (const metric of compareSummaries(first.value, second.value)) {
      this.log(formatLine(metric));
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

function formatLine(metric: ComparedMetric): string {
  const { changePercent } = metric;
  const change = changePercent === undefined
    ? ""
    : `${changePercent >= 0 ? "+" : ""}${changePercent.toFixed(1)} %`;
  return [
    metric.name.padEnd(NAME_WIDTH),
    metric.first.padStart(VALUE_WIDTH),
    metric.second.padStart(VALUE_WIDTH),
    change.padStart(VALUE_WIDTH),
  ].join(" ").trimEnd();
}
