/** Polls for a condition with a timeout. */
import { performance } from "node:perf_hooks";

const POLL_MS = 10;

/** Thrown if a condition was not met in time. */
export class WaitError extends Error {
  override readonly name = "WaitError";
}

/** The awaited condition, named for the error message, and its timeout. */
export interface WaitOptions {
  readonly what: string;
  readonly timeoutMs: number;
}

/**
 * Resolves with the first value of `probe` that is not `undefined`; throws a
 * `WaitError` after the timeout.
 */
export async function waitFor<Value>(
  probe: () => Value | undefined | Promise<Value | undefined>,
  options: WaitOptions,
): Promise<Value> {
  const deadlineMs = performance.now() + options.timeoutMs;
  for (;;) {
    const value = await probe();
    if (value !== undefined) return value;
    if (performance.now() > deadlineMs) {
      throw new WaitError(`no ${options.what} within ${options.timeoutMs} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
