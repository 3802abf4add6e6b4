/**
 * Measures the cost of membership for a VM without traffic: bytes sent and
 * received on its connections, processor time and memory, with a process per VM
 * on loopback. Prints one JSON line per VM count; each takes at most 20 s.
 *
 * Usage: node dist/bench/membership/idle.js [COUNT...]
 */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { type ProcessReady, type ProcessSample } from "./peer_process.ts";

const COUNTS = [4, 8, 16, 32, 64];
const MAX_COUNT = 64;
const PLACES = ["a", "b", "c", "d", "e"];
const SETTLE_MS = 6000;
const WINDOW_MS = 12_000;
const MS_PER_S = 1000;
const BYTES_PER_MB = 1024 * 1024;

const script = new URL("./peer_process.js", import.meta.url).pathname;

async function startPeer(index: number, seed: string): Promise<{
  readonly child: ChildProcess;
  readonly peerAddress: string;
}> {
  const place = PLACES[index % PLACES.length] ?? "a";
  const child = fork(script, [`vm-${index}`, place, seed]);
  const [ready] = await once(child, "message") as [ProcessReady];
  return { child, peerAddress: ready.peerAddress };
}

async function requestSample(child: ChildProcess): Promise<ProcessSample> {
  const reply = once(child, "message") as Promise<[ProcessSample]>;
  child.send({ kind: "sample" });
  return (await reply)[0];
}

function mean(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0) / values.length;
}

async function measure(count: number): Promise<void> {
  const first = await startPeer(0, "");
  const rest = await Promise.all(
    Array.from(
      { length: count - 1 },
      (_, index) => startPeer(index + 1, first.peerAddress),
    ),
  );
  const children = [first, ...rest].map(({ child }) => child);
  await delay(SETTLE_MS);
  const before = await Promise.all(children.map(requestSample));
  await delay(WINDOW_MS);
  const after = await Promise.all(children.map(requestSample));
  const windowS = WINDOW_MS / MS_PER_S;
  const increases = after.map((sample, index) => ({
    bytes: sample.bytes - (before[index]?.bytes ?? 0),
    cpuMicros: sample.cpuMicros - (before[index]?.cpuMicros ?? 0),
  }));
  console.log(JSON.stringify({
    processes: count,
    knownMembers: Math.min(...after.map((sample) => sample.presentCount)),
    bytesPerSecond: Math.round(
      mean(increases.map((increase) => increase.bytes)) / windowS,
    ),
    coreShare: Number(
      (mean(increases.map((increase) => increase.cpuMicros)) / windowS / 1e6)
        .toFixed(5),
    ),
    rssMb: Number(
      (mean(after.map((sample) => sample.rssBytes)) / BYTES_PER_MB).toFixed(1),
    ),
  }));
  for (const child of children) child.disconnect();
  await Promise.all(
    children.map((child) => child.exitCode ?? once(child, "exit")),
  );
}

const requestedCounts = process.argv.slice(2).map(Number);
for (const count of requestedCounts.length > 0 ? requestedCounts : COUNTS) {
  await measure(Math.min(count, MAX_COUNT));
}
