/** An event loop that is held up, as on a busy or paused machine. */

/**
 * Sends something and holds up the event loop. What has been sent by then is
 * read only after the timers that are due.
 */
export function holdUpAfter(
  send: () => unknown,
  durationMs: number,
): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(async () => {
      // What is sent in the next tick counts too.
      await send();
      const endMs = performance.now() + durationMs;
      while (performance.now() < endMs);
      resolve();
    });
  });
}
