/**
 * How many repeats a VM may still send, by a sliding window: repeats of the
 * last window may be a share of its requests and a fixed number beside. What
 * was not used in a calm time is there at once when many servers fail together,
 * and no window of that length holds more than the bound.
 */

/** The bound of one VM. */
export interface RetryBound {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats beside those, in each window. */
  readonly slackCount: number;
  readonly windowMs: number;
}

/** Counts of a short span. */
interface Span {
  /** The number of the span since the clock's start. */
  readonly index: number;
  readonly requestCount: number;
  readonly repeatCount: number;
}

/** The spans of one window, oldest first; immutable. */
export interface RetryWindow {
  readonly spans: readonly Span[];
}

/** A window in which nothing has happened. */
export const EMPTY_RETRY_WINDOW: RetryWindow = { spans: [] };

/** The window is looked at in so many spans. */
const SPANS_PER_WINDOW = 40;

/** The window after one more request or repeat. */
export function countInWindow(
  window: RetryWindow,
  kind: "request" | "repeat",
  options: { readonly bound: RetryBound; readonly nowMs: number },
): RetryWindow {
  const index = indexOf(options);
  const spans = spansSince(window, index);
  const last = spans.at(-1);
  const current = last?.index === index
    ? last
    : { index, requestCount: 0, repeatCount: 0 };
  const earlier = last?.index === index ? spans.slice(0, -1) : spans;
  const next = kind === "request"
    ? { ...current, requestCount: current.requestCount + 1 }
    : { ...current, repeatCount: current.repeatCount + 1 };
  return { spans: [...earlier, next] };
}

/** Repeats that may be sent now, and the most that the window allows. */
export function retriesLeft(
  window: RetryWindow,
  options: { readonly bound: RetryBound; readonly nowMs: number },
): { readonly leftCount: number; readonly allowedCount: number } {
  const { ratio, slackCount } = options.bound;
  let requestCount = 0;
  let repeatCount = 0;
  for (const span of spansSince(window, indexOf(options))) {
    requestCount += span.requestCount;
    repeatCount += span.repeatCount;
  }
  const allowedCount = ratio * requestCount + slackCount;
  return { leftCount: allowedCount - repeatCount, allowedCount };
}

/** One span more than the window, as its first one began before it. */
function spansSince(window: RetryWindow, index: number): readonly Span[] {
  const first = index - SPANS_PER_WINDOW;
  if ((window.spans[0]?.index ?? first) >= first) return window.spans;
  return window.spans.filter((span) => span.index >= first);
}

function indexOf(
  { bound, nowMs }: { readonly bound: RetryBound; readonly nowMs: number },
): number {
  return Math.floor(nowMs / (bound.windowMs / SPANS_PER_WINDOW));
}
