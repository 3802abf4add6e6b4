/** `goldcrestpost explain REQUEST_ID [FILES]` prints a request's timeline. */
import { Args, Command } from "@oclif/core";
import { formatTimeline, TimelineReader } from "../report/request_timeline.ts";
import { readLogLines } from "./log_lines.ts";

const NOT_FOUND_STATUS = 1;

/** Prints the timeline of one request. */
export class ExplainRequestCommand extends Command {
  static override readonly summary: string =
    "Explain the outcome of a request from the logs of one or more VMs";

  static override readonly args = {
    request: Args.string({ required: true, description: "request id" }),
  };

  /** Allows the log files after the request id. */
  static override readonly strict: boolean = false;

  /** Prints the timeline; reads standard input if no files are named. */
  async run(): Promise<void> {
    const { args, argv } = await this.parse(ExplainRequestCommand);
    const files = argv.slice(1).map(String);
    const reader = new TimelineReader(args.request);
    for await (const line of readLogLines(files)) reader.add(line);
    const timeline = reader.timeline();
    this.log(formatTimeline(args.request, timeline));
    if (timeline.lines.length === 0) this.exit(NOT_FOUND_STATUS);
  }
}
