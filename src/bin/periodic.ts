/** Work that a process repeats until it ends. */
import { type Logger } from "../model/mod.ts";
import { processEffects } from "../client/effects.ts";

/** One piece of repeated work. */
export interface PeriodicTask {
  readonly name: string;
  readonly periodMs: number;
  run(): Promise<void> | void;
}

/**
 * Repeats tasks until `signal` aborts. A task that fails is logged and runs
 * again at its next turn.
 */
export async function runPeriodic(
  tasks: readonly PeriodicTask[],
  options: { readonly logger: Logger; readonly signal: AbortSignal },
): Promise<void> {
  await Promise.all(tasks.map((task) => runTask(task, options)));
}

async function runTask(
  task: PeriodicTask,
  { logger, signal }: { logger: Logger; signal: AbortSignal },
): Promise<void> {
  while (!signal.aborted) {
    try {
      await task.run();
    } catch (error) {
      logger.warn("periodic task failed", {
        task: task.name,
        message: String(error),
      });
    }
    await processEffects.sleep(task.periodMs, signal);
  }
}
