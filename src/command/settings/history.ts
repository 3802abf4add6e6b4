/** `goldcrestpost settings history [PATH]` lists edits and their verdicts. */
import { Args, Flags } from "@oclif/core";
import { isAtOrBelow } from "../../model/mod.ts";
import { type DecidedEdit } from "../../state/mod.ts";
import { operatorFlags, SettingsCommand } from "../base.ts";

const DEFAULT_LIMIT = 20;
const VERDICT_WIDTH = 8;

/** Lists edits. */
export class HistoryCommand extends SettingsCommand {
  static override readonly summary: string =
    "List the newest edits at and below a path, with their verdicts";

  static override readonly args = {
    path: Args.string({ default: "/", description: "settings path" }),
  };

  static override readonly flags = {
    ...operatorFlags,
    limit: Flags.integer({
      description: "maximum number of edits to list",
      default: DEFAULT_LIMIT,
      min: 1,
    }),
  };

  /** Prints one line per edit, newest last. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(HistoryCommand);
    const path = this.parsePathArgument(args.path);
    await this.withSession(flags, ({ session }) => {
      const edits = session.control.history.filter(({ edit }) =>
        isAtOrBelow(edit.path, path)
      );
      for (const decided of edits.takeLast(flags.limit)) {
        this.log(formatEdit(decided));
      }
      return Promise.resolve();
    });
  }
}

function formatEdit({ position, edit, verdict, reason }: DecidedEdit): string {
  const { set, clear } = edit.change;
  const clearText = clear.length === 0 ? "" : ` clear ${clear.join(",")}`;
  const noteText = edit.note === "" ? "" : ` "${edit.note}"`;
  const reasonText = reason === "" ? "" : ` (${reason})`;
  const change = `${JSON.stringify(set)}${clearText}${noteText}${reasonText}`;
  const label = verdict.padEnd(VERDICT_WIDTH);
  return `${position} ${label} ${edit.path} ${edit.author} ${change}`;
}
