/**
 * Runs a set of controllers. Each one reads the state, decides and acts
 * periodically. A controller has no state that it cannot rebuild from records
 * or reports, so it may run in any process and a process may crash at any time.
 * A failed run is logged and does not change the period. Runs of one controller
 * never overlap.
 */
import { type Clock, type Logger, type Metrics } from "../model/mod.ts";
import { type Sleep } from "../model/mod.ts";

/** Effects and abort signal of a run. */
export interface ControllerContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Aborts when the set stops. */
  readonly signal: AbortSignal;
}

/** A task that runs periodically. */
export interface Controller {
  readonly name: string;
  readonly periodMs: number;
  run(context: ControllerContext): Promise<void>;
  /** Releases resources such as leases; called once after the last run. */
  stop?(): Promise<void>;
}

/** The effects of a controller set. */
export interface ControllerSetOptions {
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A set of controllers that are started and stopped together. */
export interface ControllerSet {
  start(): void;
  /** Waits for the runs in progress and stops all controllers. */
  stop(): Promise<void>;
}

/** Creates a set of controllers; none runs before `start`. */
export function createControllerSet(
  controllers: readonly Controller[],
  options: ControllerSetOptions,
): ControllerSet {
  const stopping = new AbortController();
  let loops: Promise<void>[] = [];
  return {
    start: () => {
      loops = controllers.map((controller) =>
        runPeriodically(controller, { ...options, signal: stopping.signal })
      );
    },
    stop: async () => {
      stopping.abort();
      await Promise.all(loops);
    },
  };
}

type LoopOptions = ControllerSetOptions & { readonly signal: AbortSignal };

async function runPeriodically(
  controller: Controller,
  options: LoopOptions,
): Promise<void> {
  while (!options.signal.aborted) {
    await runOnce(controller, options);
    await options.sleep(controller.periodMs, options.signal);
  }
  await controller.stop?.();
}

async function runOnce(
  controller: Controller,
  options: LoopOptions,
): Promise<void> {
  const startedMs = options.clock();
  try {
    await controller.run(options);
  } catch (error) {
    options.logger.error("controller run failed", {
      controller: controller.name,
      message: error instanceof Error ? error.message : String(error),
    });
    options.metrics.count("controller.failed", 1, {
      controller: controller.name,
    });
  }
  const durationMs = options.clock() - startedMs;
  options.metrics.timing("controller.run", durationMs, {
    controller: controller.name,
  });
}
