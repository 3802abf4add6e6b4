/** The real clock, random source and timer, passed in by the programs. */
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import { type Clock, type Random, type Sleep } from "../model/mod.ts";

/** The clock, random source and timer of a process. */
export interface Effects {
  readonly clock: Clock;
  readonly random: Random;
  readonly sleep: Sleep;
}

/** The effects of a running program. */
export const processEffects: Effects = {
  clock: () => performance.now(),
  random: () => Math.random(),
  sleep: async (durationMs, signal) => {
    try {
      await delay(
        durationMs,
        undefined,
        signal === undefined ? {} : { signal },
      );
    } catch {
      // An aborted sleep ends early; the caller looks at its signal.
    }
  },
};
