/** What an operator does in the demo: runs the command line of the product. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { text } from "node:stream/consumers";
import { type Cluster } from "../test/cluster.ts";
import { OPERATOR_TOKEN } from "../test/process_config.ts";

const COMMAND_SCRIPT = "dist/src/bin/cli.js";

/** Withdraws a version everywhere and waits until the edit is in force. */
export async function withdrawByCommand(
  cluster: Cluster,
  version: string,
): Promise<void> {
  const { platform } = cluster;
  const child = spawn(process.execPath, [
    COMMAND_SCRIPT,
    "settings",
    "withdraw",
    "/",
    version,
    "--log-url",
    platform.logUrl,
    "--vm-list-url",
    platform.vmListUrl,
    "--token",
    OPERATOR_TOKEN,
  ], { stdio: ["ignore", "pipe", "pipe"] });
  const [output, errors] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
    once(child, "exit"),
  ]);
  if (child.exitCode === 0) return;
  throw new Error(`the withdrawal failed: ${output}${errors}`);
}
