/** `goldcrestpost replay TRACE` replays a recorded trace. */
import { readFileSync } from "node:fs";
import { Args, Command } from "@oclif/core";
import { Err, Ok, type Result } from "ts-results-es";
import { replayTrace } from "../report/trace_replay.ts";

const BAD_INPUT_STATUS = 66;
const DIFFERENCE_STATUS = 1;

/** Replays a trace. */
export class ReplayCommand extends Command {
  static override readonly summary: string =
    "Replay a recorded trace and print the first difference";

  static override readonly args = {
    trace: Args.string({ required: true, description: "trace file" }),
  };

  /** Prints the first difference, or the number of checked outcomes. */
  async run(): Promise<void> {
    const { args } = await this.parse(ReplayCommand);
    const text = readText(args.trace);
    if (text.isErr()) this.error(text.error, { exit: BAD_INPUT_STATUS });
    const { checkedCount, difference } = replayTrace(text.value);
    if (difference === undefined) {
      this.log(`${args.trace}: ${checkedCount} outcomes match`);
      return;
    }
    const { lineNumber, event, stated, found } = difference;
    this.log(`${args.trace}:${lineNumber}: ${event}`);
    this.log(`  recorded ${stated}`);
    this.log(`  replayed ${found}`);
    this.exit(DIFFERENCE_STATUS);
  }
}

function readText(file: string): Result<string, string> {
  try {
    return Ok(readFileSync(file, "utf8"));
  } catch (error) {
    return Err(`${file}: ${String(error)}`);
  }
}
