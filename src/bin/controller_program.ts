/** The controllers of one VM. */
import { type ProgramContext, type RunningProgram } from "./program.ts";
import { openJournal } from "./journal_setup.ts";

/** Starts the controllers of one VM. */
export function startController(
  context: ProgramContext,
): Promise<RunningProgram> {
  const journal = openJournal(context, {
    readsBills: true,
    writerCount: () => 1,
  });
  journal.start();
  context.logger.info("running");
  return Promise.resolve({ stop: () => journal.close() });
}
