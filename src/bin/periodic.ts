/** Periodic tasks of a process. */
import { type Logger } from "../model/mod.ts";
import { processEffects } from "../client/effects.ts";

export interface PeriodicTask {
  readonly name: string;
  readonly periodMs: number;
  run(): Promise<void> | void;
}

/**
 * Runs each task repeatedly, with its period as the pause between runs, until
 * `signal` aborts. The failure of a run is logged and does not stop the task.
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
