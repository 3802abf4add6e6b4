/**
 * Limits a VM's retries by a sliding window: in each window, retries may be a
 * share of the requests plus a fixed number. Unused retries are available at
 * once when many servers fail together, and no window of that length contains
 * more than the bound.
 */

/** The bound on retries in each window. */
export interface RetryBound {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Further retries allowed in each window, independent of requests. */
  readonly slackCount: number;
  readonly windowMs: number;
}

/** Counts in one span, the resolution of the window. */
interface Span {
  /** Number of the span, counted from the clock's zero. */
  readonly index: number;
  readonly requestCount: number;
  readonly retryCount: number;
}

/** The spans of one window, oldest first; immutable. */
export interface RetryWindow {
  readonly spans: readonly Span[];
}

export const EMPTY_RETRY_WINDOW: RetryWindow = { spans: [] };

const SPANS_PER_WINDOW = 40;

/** Returns the window with one more request, or one more retry (`repeat`). */
export function countInWindow(
  window: RetryWindow,
  kind: "request" | "repeat",
  options: { readonly bound: RetryBound; readonly nowMs: number },
): RetryWindow {
  const index = indexOf(options);
  const spans = currentSpans(window, index);
  const last = spans.at(-1);
  const current = last?.index === index
    ? last
    : { index, requestCount: 0, retryCount: 0 };
  const earlier = last?.index === index ? spans.slice(0, -1) : spans;
  const next = kind === "request"
    ? { ...current, requestCount: current.requestCount + 1 }
    : { ...current, retryCount: current.retryCount + 1 };
  return { spans: [...earlier, next] };
}

/** Returns the retries that may be sent now, and the bound of this window. */
export function retriesLeft(
  window: RetryWindow,
  options: { readonly bound: RetryBound; readonly nowMs: number },
): { readonly leftCount: number; readonly allowedCount: number } {
  const { ratio, slackCount } = options.bound;
  let requestCount = 0;
  let retryCount = 0;
  for (const span of currentSpans(window, indexOf(options))) {
    requestCount += span.requestCount;
    retryCount += span.retryCount;
  }
  const allowedCount = ratio * requestCount + slackCount;
  return { leftCount: allowedCount - retryCount, allowedCount };
}

/** Returns the window's spans, with the one that began before the window. */
function currentSpans(window: RetryWindow, index: number): readonly Span[] {
  const first = index - SPANS_PER_WINDOW;
  if ((window.spans[0]?.index ?? first) >= first) return window.spans;
  return window.spans.filter((span) => span.index >= first);
}

function indexOf(
  { bound, nowMs }: { readonly bound: RetryBound; readonly nowMs: number },
): number {
  return Math.floor(nowMs / (bound.windowMs / SPANS_PER_WINDOW));
}
