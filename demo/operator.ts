/** Operator actions of the demo, run through the product's command line. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { text } from "node:stream/consumers";
import { type Cluster } from "../test/cluster.ts";
import { OPERATOR_TOKEN } from "../test/process_config.ts";

const CLI_PATH = "dist/src/bin/cli.js";

/** Withdraws a version in every workspace and waits until it is in force. */
export async function withdrawByCommand(
  cluster: Cluster,
  version: string,
): Promise<void> {
  const { platform } = cluster;
  const child = spawn(process.execPath, [
    CLI_PATH,
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
