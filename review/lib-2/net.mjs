// Plain JavaScript has no return types.
// deno-lint-ignore-file explicit-function-return-type
// Free loopback ports, pauses and a record of what was seen.
import { appendFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";

export const HOST = "127.0.0.1";

export const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 18_000;
const PORT_COUNT = 12_000;

/** Returns ports that nothing listens on, at a random place of the range. */
export async function freePorts(count) {
  const ports = [];
  let port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
  while (ports.length < count) {
    port = port + 1 < FIRST_PORT + PORT_COUNT ? port + 1 : FIRST_PORT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}

/** A text file with one line for each thing that was sent, answered or run. */
export class RunRecord {
  #path;
  #startedAtMs = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, "");
  }

  get nowMs() {
    return performance.now() - this.#startedAtMs;
  }

  add(text) {
    const seconds = (this.nowMs / 1000).toFixed(3).padStart(8);
    appendFileSync(this.#path, `${seconds} s  ${text}\n`);
  }
}

export async function until(condition, { timeoutMs, what }) {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    if (await condition()) return;
    await delay(50);
  }
  throw new Error(`not within ${timeoutMs} ms: ${what}`);
}
