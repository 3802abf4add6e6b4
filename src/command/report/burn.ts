/** `goldcrestpost report burn` reports burn rates of the error budgets. */
import { writeFileSync } from "node:fs";
import { Command, Flags } from "@oclif/core";
import { burnHtmlOf } from "../../report/burn_html.ts";
import { collectBurn, createJsonReader } from "../../report/burn_collect.ts";
import { type BurnReport, burnReportOf } from "../../report/burn_report.ts";
import { burnTextOf } from "../../report/burn_text.ts";
import { operatorFlags } from "../base.ts";
import { EXIT_STATUS } from "../exit_status.ts";
import { readOperatorSettings } from "../operator_settings.ts";

/** Reports the burn rates. */
export class BurnCommand extends Command {
  static override readonly summary: string =
    "Report the burn rates of the error budgets over all entry VMs";

  static override readonly flags = {
    ...operatorFlags,
    format: Flags.option({
      options: ["text", "json", "html"] as const,
      default: "text" as const,
      description: "output format",
    })(),
    out: Flags.string({ description: "file to write the report to" }),
  };

  /** Prints the report; fails if no VM responded. */
  async run(): Promise<void> {
    const { flags } = await this.parse(BurnCommand);
    const operator = readOperatorSettings(flags);
    if (operator.isErr()) {
      const { lines, status } = operator.error;
      return this.error(lines.join("\n"), { exit: status });
    }
    const { entries, vmListUrl, operatorToken } = operator.value;
    const report = burnReportOf(
      await collectBurn({
        entries,
        vmListUrl,
        readJson: createJsonReader(operatorToken),
        wallClock: Date.now,
      }),
    );
    const text = render(report, flags.format);
    if (flags.out === undefined) this.log(text.trimEnd());
    else writeFileSync(flags.out, text);
    if (report.vms.length > 0) return;
    this.logToStderr("no entry VM responded");
    this.exit(EXIT_STATUS.unavailable);
  }
}

function render(report: BurnReport, format: "text" | "json" | "html"): string {
  if (format === "json") return `${JSON.stringify(report, undefined, 2)}\n`;
  return format === "html" ? burnHtmlOf(report) : burnTextOf(report);
}
