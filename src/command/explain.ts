/** `goldcrestpost explain REQUEST_ID [FILES]`: a request's story from logs. */
import { readFileSync } from "node:fs";
import { Args, Command } from "@oclif/core";
import { formatTimeline, readTimeline } from "../report/request_timeline.ts";

const STANDARD_INPUT = 0;
const NOT_FOUND_STATUS = 1;

/** The command that explains a request. */
export class ExplainRequestCommand extends Command {
  static override readonly summary: string =
    "Tell what became of a request and why, from logs of one or more VMs";

  static override readonly args = {
    request: Args.string({ required: true, description: "request id" }),
  };

  /** Files follow the request id. */
  static override readonly strict: boolean = false;

  /** Prints the story; without files the logs come from standard input. */
  async run(): Promise<void> {
    const { args, argv } = await this.parse(ExplainRequestCommand);
    const files = argv.slice(1).map(String);
    const sources = files.length > 0 ? files : [STANDARD_INPUT];
    const lines: string[] = [];
    for (const source of sources) {
      for (const line of readFileSync(source, "utf8").split("\n")) {
        lines.push(line);
      }
    }
    const story = readTimeline(args.request, lines);
    this.log(formatTimeline(args.request, story));
    if (story.lines.length === 0) this.exit(NOT_FOUND_STATUS);
  }
}
