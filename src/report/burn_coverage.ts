/**
 * Finds the time spans with missing counts. A VM appends a window to the log at
 * its start, at each full hour and at a planned stop. A VM that crashed has no
 * final window, so up to an hour of its counts is missing.
 */
import {
  type BurnHistory,
  type BurnWindow,
  RECORD_WINDOW_MS,
  type VmBurn,
} from "./burn_window.ts";

/** A span of time in which a VM's counts are missing. */
export interface MissingSpan {
  readonly vm: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly reason: string;
}

/** A VM whose counts could not be read. */
export interface UnreachableVm {
  readonly vm: string;
  readonly reason: string;
}

export interface CoverageInput {
  readonly nowMs: number;
  readonly live: readonly VmBurn[];
  readonly history: BurnHistory | undefined;
  readonly silent: readonly UnreachableVm[];
}

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Returns all spans with missing counts, oldest first. */
export function missingSpans(input: CoverageInput): MissingSpan[] {
  const spans = [
    ...lostSpans(input),
    ...unreachableSpans(input),
    ...truncatedSpans(input),
  ];
  return spans.sort((a, b) => a.fromMs - b.fromMs);
}

function lostSpans(input: CoverageInput): MissingSpan[] {
  const missing: MissingSpan[] = [];
  const live = new Map(input.live.map((burn) => [burn.vm, burn]));
  const silent = new Set(input.silent.map(({ vm }) => vm));
  for (const [vm, spans] of spansByVm(input.history?.records ?? [])) {
    if (silent.has(vm)) continue;
    const burn = live.get(vm);
    const current: Span[] = burn === undefined
      ? []
      : [{ fromMs: burn.startedAtMs, toMs: input.nowMs }];
    const all = [...spans, ...current].sort((a, b) => a.fromMs - b.fromMs);
    for (const gap of gapsIn(all, input.nowMs)) {
      missing.push({ vm, ...gap, reason: "the VM was lost" });
    }
  }
  return missing;
}

/** Returns the gaps between spans that are sorted by their start. */
function gapsIn(spans: readonly Span[], nowMs: number): Span[] {
  const gaps: Span[] = [];
  let last: Span | undefined;
  for (const span of [...spans, { fromMs: nowMs, toMs: nowMs }]) {
    const gap = last === undefined ? undefined : gapAfter(last, span.fromMs);
    if (gap !== undefined) gaps.push(gap);
    if (last === undefined || span.toMs > last.toMs) last = span;
  }
  return gaps;
}

/** Returns the gap between one span of a VM and the start of its next one. */
function gapAfter(span: Span, nextMs: number): Span | undefined {
  if (nextMs <= span.toMs + 1) return undefined;
  const isStart = span.toMs - span.fromMs <= 1;
  const isFullHour = span.toMs % RECORD_WINDOW_MS === 0;
  if (!isStart && !isFullHour) return undefined;
  const hourEndMs = (Math.floor(span.toMs / RECORD_WINDOW_MS) + 1) *
    RECORD_WINDOW_MS;
  return { fromMs: span.toMs, toMs: Math.min(nextMs, hourEndMs) };
}

function unreachableSpans(input: CoverageInput): MissingSpan[] {
  const spans = spansByVm(input.history?.records ?? []);
  return input.silent.map(({ vm, reason }) => {
    const last = spans.get(vm)?.at(-1)?.toMs ?? 0;
    return { vm, fromMs: last, toMs: input.nowMs, reason };
  });
}

function truncatedSpans(
  { nowMs, live, history }: CoverageInput,
): MissingSpan[] {
  const missing: MissingSpan[] = [];
  for (const { vm, startedAtMs, droppedCount } of live) {
    if (droppedCount === 0) continue;
    const reason = `${droppedCount} windows were dropped`;
    missing.push({ vm, fromMs: startedAtMs, toMs: nowMs, reason });
  }
  if (history === undefined) {
    const reason = "no VM returned the records";
    missing.push({ vm: "all", fromMs: 0, toMs: nowMs, reason });
  } else if (history.isFull) {
    const starts = history.records.map(({ windowStartMs }) => windowStartMs);
    const toMs = starts.reduce((a, b) => Math.min(a, b), nowMs);
    const reason = "older records were evicted";
    missing.push({ vm: "all", fromMs: 0, toMs, reason });
  }
  return missing;
}

/** Returns the spans covered by each VM's records, sorted by start. */
function spansByVm(records: readonly BurnWindow[]): Map<string, Span[]> {
  const byVm = new Map<string, Map<number, Span>>();
  for (const { vm, windowStartMs, windowMs } of records) {
    const spans = byVm.get(vm) ?? new Map<number, Span>();
    byVm.set(vm, spans);
    const toMs = windowStartMs + windowMs;
    if ((spans.get(windowStartMs)?.toMs ?? 0) >= toMs) continue;
    spans.set(windowStartMs, { fromMs: windowStartMs, toMs });
  }
  return new Map(
    [...byVm].map(([vm, spans]) => [
      vm,
      [...spans.values()].sort((a, b) => a.fromMs - b.fromMs),
    ]),
  );
}
