/** Runs the command line of the product as a process for tests. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { type Readable, type Writable } from "node:stream";
import { text } from "node:stream/consumers";
import { setTimeout as delay } from "node:timers/promises";

/** Longer than the command takes to begin reading. */
const INPUT_PAUSE_MS = 500;

/** The exit status and output of a command. */
export interface CliRun {
  readonly status: number | null;
  readonly output: string;
  readonly errors: string;
}

/**
 * Runs the command line with `args` and waits until it has exited. Its standard
 * input is a pipe that brings the parts one after the other, with a pause.
 */
export async function runCli(
  args: readonly string[],
  { input }: { readonly input?: readonly string[] } = {},
): Promise<CliRun> {
  const child = spawn(process.execPath, ["dist/src/bin/cli.js", ...args], {
    stdio: [input === undefined ? "ignore" : "pipe", "pipe", "pipe"],
  });
  const exited = once(child, "exit");
  if (input !== undefined) void sendSlowly(child.stdin, input);
  const [output, errors] = await Promise.all([
    text(child.stdout as Readable),
    text(child.stderr as Readable),
  ]);
  await exited;
  return { status: child.exitCode, output, errors };
}

async function sendSlowly(
  stdin: Writable | null,
  parts: readonly string[],
): Promise<void> {
  for (const part of parts) {
    await delay(INPUT_PAUSE_MS);
    stdin?.write(part);
  }
  stdin?.end();
}
