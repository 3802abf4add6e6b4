/**
 * What the programs share: reading the settings file named on the command line,
 * logs and metrics, and the signals that end a process.
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

/** What a program starts from. */
export interface ProgramContext {
  readonly settings: ProcessSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A program that runs until it is stopped. */
export interface RunningProgram {
  /** Ends it gracefully; a second call changes nothing. */
  stop(): Promise<void>;
}

/** Starts a program. */
export type StartProgram = (context: ProgramContext) => Promise<RunningProgram>;

/**
 * Runs a program as this process: settings from the file in the first argument,
 * graceful shutdown on SIGTERM and SIGINT. Faulty settings end it with status
 * 78, a broken invariant with 70.
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
