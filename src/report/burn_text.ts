/** Renders the burn report as text, a line per workspace, class and window. */
import { type BurnCell, type BurnReport } from "./burn_report.ts";
import { totalOf } from "./burn_window.ts";

const COLUMN_HEADERS = [
  "workspace",
  "class",
  "target",
  "window",
  "requests",
  "good",
  "burn rate",
  "budget left",
  "refused",
  "late",
  "lost",
  "bad version",
  "cause",
];

export function burnTextOf(report: BurnReport): string {
  const { vms, silent } = report;
  const lines = [`counts of ${vms.length} VMs: ${vms.join(", ") || "none"}`];
  for (const { vm, reason } of silent) lines.push(`missing ${vm}: ${reason}`);
  for (const { window, isComplete, missing } of report.coverage) {
    if (isComplete) continue;
    lines.push(`incomplete: ${window}`);
    for (const span of missing) {
      const { vm, fromMs, toMs, reason } = span;
      lines.push(`  ${vm} ${timeOf(fromMs)} to ${timeOf(toMs)}: ${reason}`);
    }
  }
  return [...lines, "", ...table(report), ""].join("\n");
}

/** Formats a wall-clock time in UTC with seconds. */
export function timeOf(atMs: number): string {
  return new Date(atMs).toISOString().slice(0, 19) + "Z";
}

/** Formats a share as a percentage, `null` as a dash. */
export function percentOf(share: number | null): string {
  return share === null ? "-" : `${(share * 100).toFixed(2)}%`;
}

/** Formats a burn rate, `null` as a dash. */
export function rateOf(burnRate: number | null): string {
  return burnRate === null ? "-" : burnRate.toFixed(2);
}

function table(report: BurnReport): string[] {
  const rows = report.rows.flatMap((row) =>
    row.cells.map((cell) => [
      row.workspace,
      row.requestClass,
      percentOf(row.targetShare),
      ...cellTexts(cell, isIncomplete(report, cell)),
    ])
  );
  const widths = COLUMN_HEADERS.map((header, column) =>
    Math.max(header.length, ...rows.map((row) => row[column]?.length ?? 0))
  );
  return [COLUMN_HEADERS, ...rows].map((row) =>
    row.map((text, column) => text.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  );
}

function cellTexts(cell: BurnCell, incomplete: boolean): string[] {
  const { counts } = cell;
  return [
    incomplete ? `${cell.window} (incomplete)` : cell.window,
    String(totalOf(counts)),
    percentOf(cell.goodShare),
    rateOf(cell.burnRate),
    percentOf(cell.budgetLeftShare),
    String(counts.refused),
    String(counts.late),
    String(counts.lost),
    String(counts.badVersion),
    cell.cause ?? "-",
  ];
}

function isIncomplete(report: BurnReport, cell: BurnCell): boolean {
  const coverage = report.coverage.find(({ window }) => window === cell.window);
  return coverage?.isComplete === false;
}
