/** Tests of crowds of clients outside the limits at the own interface. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { request } from "node:http";
import process from "node:process";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { LOOPBACK_HOST } from "../../src/model/loopback_fixture.ts";
import { splitAddress } from "../../src/model/mod.ts";
import {
  type Crowd,
  playCrowd,
  watchProcess,
} from "../../src/wire/crowd_fixture.ts";

const MAIN_FILE = fileURLToPath(
  new URL("./own_server_main.js", import.meta.url),
);
const HEAP_MB = 64;
const MEMORY_MB = 200;
const MAX_DESCRIPTORS = 300;
const ANSWER_MS = 60_000;
const SERVED_BODY_BYTES = 1_000_000;

const CHUNKED_HEAD = "POST / HTTP/1.1\r\nHost: a\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";

interface CrowdCase extends Omit<Crowd, "address"> {
  readonly title: string;
}

const CASES: readonly CrowdCase[] = [
  {
    title: "a body in chunks of 1 byte, without its end",
    connectionCount: 12,
    head: CHUNKED_HEAD,
    repeated: "1\r\na\r\n",
    repeatCount: 250_000,
  },
  {
    title: "requests ahead",
    connectionCount: 30,
    head: "",
    repeated: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    repeatCount: 20_000,
  },
  { title: "nothing", connectionCount: 400, head: "" },
];

interface OwnServer {
  readonly address: string;
  readonly child: ChildProcess;
}

async function startServer(context: TestContext): Promise<OwnServer> {
  const child = spawn(process.execPath, [
    `--max-old-space-size=${HEAP_MB}`,
    MAIN_FILE,
    LOOPBACK_HOST,
  ], { stdio: ["ignore", "pipe", "inherit"] });
  context.after(() => child.kill("SIGKILL"));
  const [address] = await once(child.stdout, "data");
  return { address: String(address), child };
}

/** Sends a request; resolves with the text of its answer, if there is one. */
function send(
  address: string,
  { body = [], method = "GET" }: {
    readonly body?: Iterable<Buffer>;
    readonly method?: string;
  } = {},
): Promise<string> {
  return new Promise((resolve) => {
    const sent = request({
      ...splitAddress(address),
      method,
      agent: false,
      timeout: ANSWER_MS,
    }, (response) => {
      let text = "";
      response.on("data", (part) => text += String(part));
      response.on("error", () => {});
      response.once("close", () => resolve(text));
    });
    sent.on("error", () => resolve(""));
    sent.on("timeout", () => sent.destroy());
    for (const chunk of body) sent.write(chunk);
    sent.end();
  });
}

function assertUse(pid: number, use: ReturnType<typeof watchProcess>): string {
  const { peakMb, peakDescriptorCount } = use();
  const text = `${pid}: ${peakMb} MB, ${peakDescriptorCount} descriptors`;
  assert.ok(peakMb <= MEMORY_MB, text);
  assert.ok(peakDescriptorCount <= MAX_DESCRIPTORS, text);
  return text;
}

for (const { title, ...crowd } of CASES) {
  // Guards against clients outside the limits that end the process of an entry.
  test(`the own interface outlives a crowd that sends ${title}`, async (context) => {
    const { address, child } = await startServer(context);
    const pid = child.pid ?? 0;
    const use = watchProcess(pid);
    await playCrowd({ ...crowd, address });
    const endMs = performance.now() + ANSWER_MS;
    while (await send(address) !== "0" && child.exitCode === null) {
      assert.ok(performance.now() < endMs, "no ordinary request was answered");
      await delay(100);
    }
    assert.deepEqual([child.exitCode, child.signalCode], [null, null]);
    context.diagnostic(assertUse(pid, use));
  });
}

// Guards against one caller inside the limits that ended an entry's process.
test("the own interface reads a body within the limits in the smallest chunks", async (context) => {
  const { address, child } = await startServer(context);
  const use = watchProcess(child.pid ?? 0);
  const body = Array(SERVED_BODY_BYTES).fill(Buffer.from("a"));
  const text = await send(address, { method: "POST", body });
  assert.equal(text, String(SERVED_BODY_BYTES));
  context.diagnostic(assertUse(child.pid ?? 0, use));
});
