/** Polling for a condition in tests. */
import { setTimeout as delay } from "node:timers/promises";

const TIMEOUT_MS = 5000;
const POLL_MS = 2;

/** Resolves once the condition holds; rejects after a timeout. */
export async function until(
  isDone: () => boolean,
  { timeoutMs = TIMEOUT_MS }: { readonly timeoutMs?: number } = {},
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (!isDone()) {
    if (performance.now() > endMs) throw new Error("condition not met in time");
    await delay(POLL_MS);
  }
}
