/**
 * Runs a set of controllers. Each one reads the state, decides and acts, again
 * and again at its own period; it keeps nothing that it cannot find again in
 * records or by asking, so any process may run it and any may die. A run that
 * fails is logged, and the next one comes at its period as before. Runs of one
 * controller never overlap.
 */
import { type Clock, type Logger, type Metrics } from "../model/mod.ts";
import { type Sleep } from "../model/mod.ts";

/** What a run is given. */
export interface ControllerContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Aborts when the set stops. */
  readonly signal: AbortSignal;
}

/** One controller. */
export interface Controller {
  readonly name: string;
  readonly periodMs: number;
  run(context: ControllerContext): Promise<void>;
  /** Gives up what it holds; called once after its last run. */
  stop?(): Promise<void>;
}

/** The effects of a set. */
export interface ControllerSetOptions {
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A set of controllers. */
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
  const ending = new AbortController();
  let loops: Promise<void>[] = [];
  return {
    start: () => {
      loops = controllers.map((controller) =>
        runPeriodically(controller, { ...options, signal: ending.signal })
      );
    },
    stop: async () => {
      ending.abort();
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
  const tookMs = options.clock() - startedMs;
  options.metrics.timing("controller.run", tookMs, {
    controller: controller.name,
  });
}
