/** Renders the burn report as one self-contained page with inline SVG. */
import { type BurnCell, type BurnReport, type BurnRow } from "./burn_report.ts";
import { percentOf, rateOf, timeOf } from "./burn_text.ts";
import { BURN_CAUSES, totalOf } from "./burn_window.ts";

const BAR_WIDTH_PX = 220;
const BAR_HEIGHT_PX = 14;
const GAP_PX = 8;
const LABEL_WIDTH_PX = 60;
/** Burn rate at the right end of a plot; longer bars are clipped. */
const MAX_RATE = 4;

const COLORS: Readonly<Record<(typeof BURN_CAUSES)[number], string>> = {
  refused: "#b58900",
  late: "#268bd2",
  lost: "#dc322f",
  badVersion: "#6c71c4",
};

const STYLE = `body{font:14px sans-serif;margin:2em;color:#222}
table{border-collapse:collapse;margin:.5em 0 1em}
td,th{padding:.2em .7em;border-bottom:1px solid #ddd;text-align:right}
th:first-child,td:first-child{text-align:left}
.warn{background:#fdf3d0;padding:.5em 1em}`;

export function burnHtmlOf(report: BurnReport): string {
  const rows = report.rows.map((row) => rowHtml(row, report)).join("\n");
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>${STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p>${timeOf(report.nowMs)}, counts of ${report.vms.length} VMs: ${
    escape(report.vms.join(", ") || "none")
  }</p>
${warningsHtml(report)}
<p>${legendHtml()} The vertical line marks a burn rate of 1, which spends the error budget
exactly.</p>
${rows}
</body></html>
`;
}

function warningsHtml(report: BurnReport): string {
  const lines = report.silent.map(({ vm, reason }) =>
    `missing ${vm}: ${reason}`
  );
  for (const { window, missing } of report.coverage) {
    for (const { vm, fromMs, toMs, reason } of missing) {
      const span = `${timeOf(fromMs)} to ${timeOf(toMs)}`;
      lines.push(`${window} is incomplete: ${vm}, ${span}, ${reason}`);
    }
  }
  if (lines.length === 0) return "";
  const items = lines.map((line) => `<li>${escape(line)}</li>`).join("");
  return `<ul class="warn">${items}</ul>`;
}

function legendHtml(): string {
  return BURN_CAUSES.map((cause) =>
    `<span style="color:${COLORS[cause]}">&#9632;</span> ${cause}`
  ).join(" ");
}

function rowHtml(row: BurnRow, report: BurnReport): string {
  const title = `${row.workspace} ${row.requestClass}`;
  const cells = row.cells.map((cell) => cellHtml(cell, report)).join("");
  return `<h2>${escape(title)}</h2>
<p>objective ${percentOf(row.targetShare)}</p>
${plotSvg(row)}
<table><tr><th>window</th><th>requests</th><th>good</th><th>burn rate</th>
<th>budget left</th>${
    BURN_CAUSES.map((cause) => `<th>${cause}</th>`).join("")
  }</tr>${cells}</table>`;
}

function cellHtml(cell: BurnCell, report: BurnReport): string {
  const coverage = report.coverage.find(({ window }) => window === cell.window);
  const suffix = coverage?.isComplete === false ? " (incomplete)" : "";
  const texts = [
    cell.window + suffix,
    String(totalOf(cell.counts)),
    percentOf(cell.goodShare),
    rateOf(cell.burnRate),
    percentOf(cell.budgetLeftShare),
    ...BURN_CAUSES.map((cause) => String(cell.counts[cause])),
  ];
  return `<tr>${texts.map((text) => `<td>${escape(text)}</td>`).join("")}</tr>`;
}

/** Draws the burn rate of each window as a bar split by cause. */
function plotSvg(row: BurnRow): string {
  const bars = row.cells.map((cell, index) =>
    barSvg(cell, index * (BAR_HEIGHT_PX + GAP_PX))
  ).join("");
  const heightPx = row.cells.length * (BAR_HEIGHT_PX + GAP_PX);
  const markPx = LABEL_WIDTH_PX + BAR_WIDTH_PX / MAX_RATE;
  const widthPx = LABEL_WIDTH_PX + BAR_WIDTH_PX + LABEL_WIDTH_PX;
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${widthPx}" height="${heightPx}" role="img" aria-label="burn rate by window">${bars}<line x1="${markPx}" x2="${markPx}" y1="0" y2="${heightPx}" stroke="#222"/></svg>`;
}

function barSvg(cell: BurnCell, topPx: number): string {
  const baselinePx = topPx + BAR_HEIGHT_PX - 2;
  const label = `<text x="0" y="${baselinePx}" font-size="12">${
    escape(cell.window)
  }</text>`;
  const rate = cell.burnRate ?? 0;
  const badCount = totalOf(cell.counts) - cell.counts.good;
  const lengthPx = BAR_WIDTH_PX * Math.min(rate, MAX_RATE) / MAX_RATE;
  let leftPx = LABEL_WIDTH_PX;
  let parts = "";
  for (const cause of BURN_CAUSES) {
    if (badCount === 0) break;
    const widthPx = lengthPx * cell.counts[cause] / badCount;
    parts += `<rect x="${leftPx.toFixed(1)}" y="${topPx}" width="${
      widthPx.toFixed(1)
    }" height="${BAR_HEIGHT_PX}" fill="${COLORS[cause]}"/>`;
    leftPx += widthPx;
  }
  const text = `<text x="${
    (leftPx + 4).toFixed(1)
  }" y="${baselinePx}" font-size="12">${rateOf(cell.burnRate)}</text>`;
  return label + parts + text;
}

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
