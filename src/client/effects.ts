/** The system's clock, random source and timer, injected by the programs. */
import { performance } from "node:perf_hooks";
import { type Clock, type Random, type Sleep } from "../model/mod.ts";

/** The clock, random source and timer of a process. */
export interface Effects {
  readonly clock: Clock;
  readonly random: Random;
  readonly sleep: Sleep;
}

/** Effects of a real process; tests inject others. */
export const processEffects: Effects = {
  clock: () => performance.now(),
  random: () => Math.random(),
  sleep: (durationMs, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const onEnd = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", onEnd);
        resolve();
      };
      const timer = setTimeout(onEnd, durationMs);
      signal?.addEventListener("abort", onEnd);
    }),
};
