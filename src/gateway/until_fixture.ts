/** Waiting in tests for what comes about later. */
import { setTimeout as delay } from "node:timers/promises";

const LIMIT_MS = 5000;
const POLL_MS = 2;

/** Resolves once the state is there; throws when it does not come. */
export async function until(isDone: () => boolean): Promise<void> {
  const endMs = performance.now() + LIMIT_MS;
  while (!isDone()) {
    if (performance.now() > endMs) throw new Error("the state never came");
    await delay(POLL_MS);
  }
}
