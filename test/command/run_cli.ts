/** Runs the command line of the product as a process for tests. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { text } from "node:stream/consumers";

/** The exit status and output of a command. */
export interface CliRun {
  readonly status: number | null;
  readonly output: string;
  readonly errors: string;
}

/** Runs the command line with `args` and waits until it has exited. */
export async function runCli(args: readonly string[]): Promise<CliRun> {
  const child = spawn(process.execPath, ["dist/src/bin/cli.js", ...args], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  const exited = once(child, "exit");
  const [output, errors] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
  ]);
  await exited;
  return { status: child.exitCode, output, errors };
}
