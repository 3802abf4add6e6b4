/** Waiting for a state, with a deadline. */
import { performance } from "node:perf_hooks";

const POLL_MS = 10;

/** A state that was not reached in time. */
export class WaitError extends Error {
  override readonly name = "WaitError";
}

/** What is waited for, and how long. */
export interface WaitOptions {
  readonly what: string;
  readonly timeoutMs: number;
}

/** Resolves with the first value of `probe` that is not `undefined`. */
export async function waitFor<Value>(
  probe: () => Value | undefined | Promise<Value | undefined>,
  options: WaitOptions,
): Promise<Value> {
  const deadlineMs = performance.now() + options.timeoutMs;
  for (;;) {
    const value = await probe();
    if (value !== undefined) return value;
    if (performance.now() > deadlineMs) {
      throw new WaitError(`no ${options.what} in ${options.timeoutMs} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
