/**
 * Main function shared by the programs: reads the settings file named on the
 * command line, creates logger and metrics, and handles termination signals.
 */
import process from "node:process";
import { type Logger, type Metrics, noMetrics } from "../model/mod.ts";
import { createLogger, createMetrics } from "../client/mod.ts";
import {
  BAD_SETTINGS_EXIT_STATUS,
  type ProcessSettings,
  readProcessSettings,
} from "./process_settings.ts";

const USAGE_EXIT_STATUS = 64;
const FAULT_EXIT_STATUS = 70;

/** Dependencies of every program. */
export interface ProgramContext {
  readonly settings: ProcessSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export interface RunningProgram {
  /** Stops the program gracefully; further calls have no effect. */
  stop(): Promise<void>;
}

/** Starts a program. */
export type StartProgram = (context: ProgramContext) => Promise<RunningProgram>;

/**
 * Runs a program with the settings file given as the first argument, and shuts
 * it down gracefully on SIGTERM and SIGINT. The process exits with status 64 if
 * the argument is missing, 78 if the settings have faults, and 70 on an uncaught
 * exception.
 */
export async function runProgram(
  name: string,
  start: StartProgram,
): Promise<void> {
  const file = process.argv[2];
  if (file === undefined) {
    process.stderr.write(`usage: goldcrestpost-${name} SETTINGS.json\n`);
    process.exit(USAGE_EXIT_STATUS);
  }
  const settings = readProcessSettings(file).match(
    (value) => value,
    (error) => {
      for (const fault of error.faults) process.stderr.write(`${fault}\n`);
      process.exit(BAD_SETTINGS_EXIT_STATUS);
    },
  );
  const context = contextOf(name, settings);
  process.on("uncaughtException", (error) => {
    context.logger.error("invariant broken", { message: error.message });
    process.exit(FAULT_EXIT_STATUS);
  });
  const program = await start(context);
  const stop = (): void => {
    void program.stop().then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

function contextOf(name: string, settings: ProcessSettings): ProgramContext {
  const { vm, place, deployment, metrics } = settings;
  const logger = createLogger({ program: name, vm, place }, (line) => {
    process.stdout.write(`${line}\n`);
  });
  const tags = { deployment, vm, place, program: name };
  return {
    settings,
    logger,
    metrics: metrics === undefined
      ? noMetrics
      : createMetrics({ ...metrics, tags }),
  };
}
