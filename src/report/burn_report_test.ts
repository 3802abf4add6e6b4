/** Tests of the burn report: rates, replaced and unreachable VMs, formats. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { collectBurn } from "./burn_collect.ts";
import { burnHtmlOf } from "./burn_html.ts";
import {
  type BurnCell,
  type BurnInput,
  type BurnReport,
  burnReportOf,
} from "./burn_report.ts";
import { burnTextOf } from "./burn_text.ts";
import {
  type BurnCounts,
  type BurnHistory,
  type BurnWindow,
  NO_COUNTS,
  type VmBurn,
} from "./burn_window.ts";

const HOUR_MS = 3_600_000;
const NOW_MS = 500_000 * HOUR_MS + 1_800_000;
const OBJECTIVE = {
  requestClass: "lookup",
  firstTokenMs: 500,
  wholeAnswerMs: 2000,
  targetShare: 0.99,
} as const;

function windowOf(
  fields: Partial<BurnWindow>,
  counts: Partial<BurnCounts> = {},
): BurnWindow {
  return {
    vm: "vm-a",
    workspace: "/ireland/status",
    requestClass: "lookup",
    windowStartMs: 500_000 * HOUR_MS,
    windowMs: 1_800_000,
    ...NO_COUNTS,
    ...counts,
    ...fields,
  };
}

function liveOf(fields: Partial<VmBurn>): VmBurn {
  return {
    vm: "vm-a",
    startedAtMs: NOW_MS - 48 * HOUR_MS,
    nowMs: NOW_MS,
    unrecorded: [],
    recent: [],
    droppedCount: 0,
    ...fields,
  };
}

function historyOf(records: readonly BurnWindow[]): BurnHistory {
  return {
    records: [...records],
    isFull: false,
    objectives: [{ workspace: "/ireland/status", objective: OBJECTIVE }],
  };
}

function inputOf(fields: Partial<BurnInput>): BurnInput {
  return {
    nowMs: NOW_MS,
    live: [],
    history: historyOf([]),
    silent: [],
    ...fields,
  };
}

function cellOf(report: BurnReport, window: string): BurnCell | undefined {
  return report.rows[0]?.cells.find((cell) => cell.window === window);
}

function incompleteOf(report: BurnReport): string[] {
  return report.coverage.filter(({ isComplete }) => !isComplete)
    .map(({ window }) => window);
}

test("the burn rate is the bad share divided by the error budget", () => {
  const counts = { good: 970, late: 20, refused: 10 };
  const hour = windowOf({}, counts);
  const report = burnReportOf(inputOf({
    live: [liveOf({ unrecorded: [hour], recent: [hour] })],
  }));
  const cell = cellOf(report, "6 h");
  assert.equal(cell?.burnRate?.toFixed(6), "3.000000");
  assert.equal(cell?.budgetLeftShare?.toFixed(6), "-2.000000");
  assert.equal(cell?.cause, "late");
  assert.deepEqual(cellOf(report, "1 h")?.counts, { ...NO_COUNTS, ...counts });
  assert.deepEqual(incompleteOf(report), []);
});

test("a window that is both recorded and still reported counts once", () => {
  const hour = windowOf({
    windowStartMs: NOW_MS - 4 * HOUR_MS,
    windowMs: HOUR_MS,
  }, { good: 100 });
  const report = burnReportOf(inputOf({
    live: [liveOf({ unrecorded: [hour] })],
    history: historyOf([hour]),
  }));
  assert.equal(cellOf(report, "6 h")?.counts.good, 100);
  assert.equal(cellOf(report, "1 h")?.counts.good, 0);
});

test("a VM stopped as planned keeps its counts and leaves no gap", () => {
  const startMs = 499_999 * HOUR_MS;
  const records = [
    windowOf({ vm: "old", windowStartMs: startMs, windowMs: 1_234_567 }, {
      good: 7,
    }),
  ];
  const report = burnReportOf(inputOf({
    live: [liveOf({})],
    history: historyOf(records),
  }));
  assert.equal(cellOf(report, "6 h")?.counts.good, 7);
  assert.deepEqual(incompleteOf(report), []);
});

test("a crashed VM makes the windows that include its last hour incomplete", () => {
  const startMs = 499_990 * HOUR_MS;
  const records = [
    windowOf({ vm: "old", windowStartMs: startMs, windowMs: HOUR_MS }, {
      good: 7,
    }),
  ];
  const report = burnReportOf(inputOf({
    live: [liveOf({})],
    history: historyOf(records),
  }));
  assert.deepEqual(incompleteOf(report), ["3 d"]);
  const [span] = report.coverage.at(-1)?.missing ?? [];
  assert.deepEqual(span, {
    vm: "old",
    fromMs: startMs + HOUR_MS,
    toMs: startMs + 2 * HOUR_MS,
    reason: "the VM was lost",
  });
});

test("a VM that crashed before its first full hour leaves a gap", () => {
  const records = [
    windowOf({ vm: "old", windowStartMs: NOW_MS - 600_000, windowMs: 1 }),
  ];
  const report = burnReportOf(inputOf({
    live: [liveOf({})],
    history: historyOf(records),
  }));
  assert.deepEqual(incompleteOf(report), ["5 min", "1 h", "6 h", "3 d"]);
});

test("a VM that restarts under the same name after a crash leaves a gap", () => {
  const records = [
    windowOf({ windowStartMs: 499_990 * HOUR_MS, windowMs: HOUR_MS }),
    windowOf({ windowStartMs: NOW_MS - HOUR_MS, windowMs: 1 }),
  ];
  const report = burnReportOf(inputOf({
    live: [liveOf({ startedAtMs: NOW_MS - HOUR_MS })],
    history: historyOf(records),
  }));
  assert.deepEqual(incompleteOf(report), ["3 d"]);
});

test("unreachable VMs are listed and make every window incomplete", async () => {
  const listed = (vm: string) => ({
    vm,
    kind: "entry",
    service: "",
    place: "dub-a",
    address: `${vm}:80`,
    peerAddress: "",
    status: "live",
  });
  const answers = new Map<string, unknown>([
    ["http://list/vms", { vms: [listed("vm-a"), listed("vm-b")] }],
    ["http://vm-a:80/v1/admin/burn", liveOf({})],
    ["http://vm-a:80/v1/admin/burn/records", historyOf([])],
  ]);
  const input = await collectBurn({
    entries: [],
    vmListUrl: "http://list",
    wallClock: () => NOW_MS,
    readJson: (url) => {
      const answer = answers.get(url);
      if (answer === undefined) return Promise.reject(new Error("refused"));
      return Promise.resolve(answer);
    },
  });
  const report = burnReportOf(input);
  assert.deepEqual(report.silent, [{ vm: "vm-b", reason: "refused" }]);
  assert.equal(incompleteOf(report).length, 4);
  assert.match(burnTextOf(report), /missing vm-b: refused/);
  assert.match(burnHtmlOf(report), /missing vm-b: refused/);
});

test("without records every window is incomplete", () => {
  const report = burnReportOf(inputOf({
    live: [liveOf({})],
    history: undefined,
  }));
  assert.equal(incompleteOf(report).length, 4);
});

test("the page loads no resources and escapes its texts", () => {
  const hour = windowOf({}, { good: 9, lost: 1 });
  const report = burnReportOf(inputOf({
    live: [liveOf({ unrecorded: [hour], recent: [hour] })],
    silent: [{ vm: "<script>", reason: "a & b" }],
  }));
  const html = burnHtmlOf(report);
  assert.match(html, /<svg /);
  assert.equal(/(src|href)=|<script/.test(html), false);
  assert.match(html, /&lt;script&gt;: a &amp; b/);
});
