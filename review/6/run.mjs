// Plain JavaScript has no return types.
// deno-lint-ignore-file explicit-function-return-type
// Streams of a route that may not be resumed, from workers that don't frame
// their answers, while one VM of three is killed. See claim.txt.
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { call } from "../lib-2/client.mjs";
import { delay, RunRecord, until } from "../lib-2/net.mjs";
import { Store } from "../lib-2/store.mjs";
import { createVms } from "../lib-2/vm.mjs";
import { Worker } from "../lib-2/worker.mjs";

const isTrouble = process.env.TROUBLE !== "0";
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const SITE_HOST = "notes.example";
const KEY = "k3fw09vq2lm7xd5t";
const ZONES = ["dub-a", "cork-a", "gal-a"];
const EVENT_COUNT = 30;
const EVENT_MS = 100;
const CLIENT_COUNT = 12;
const KILL_AFTER_MS = 1500;

const folder = mkdtempSync(join(tmpdir(), "review-6-"));
const record = new RunRecord(
  fileURLToPath(new URL("./record.txt", import.meta.url)),
);
const store = new Store();
const workers = [];
let vms = [];

function eventOf(id, number) {
  return `id: ${number}\ndata: ${id} part ${number}\n\n`;
}

/** A sound worker whose answer has no length and ends with its channel. */
async function runStream({ response, id, worker }) {
  record.add(`${worker.id} runs ${id}`);
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, {
    "Content-Type": "text/event-stream",
    "X-Response-Signature": `${worker.id}.${id}`,
  });
  for (let number = 1; number <= EVENT_COUNT; number++) {
    if (response.destroyed) {
      return record.add(`${worker.id} stops ${id}: its channel has closed`);
    }
    response.write(eventOf(id, number));
    await delay(EVENT_MS);
  }
  response.end();
  record.add(`${worker.id} ends ${id} after ${EVENT_COUNT} events`);
}

async function start() {
  await store.start();
  store.put("keyed.op", "config", {
    version: 3,
    routes: [{
      name: "r-notes",
      host: SITE_HOST,
      pathPrefix: "/notes/",
      service: "notes",
      kind: "streaming",
      timeoutMs: 20_000,
      goalMs: 2000,
      itlTargetMs: 1500,
      maxAttempts: 3,
      priority: 1,
    }],
    services: [{ name: "notes", healthPath: "/healthz" }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "hule930", apiKeys: [KEY] }],
  });
  for (const [index, zone] of ZONES.entries()) {
    workers.push(
      new Worker({
        id: `i-worker-${index + 1}`,
        service: "notes",
        zone,
        store,
        run: runStream,
      }),
    );
  }
  for (const worker of workers) await worker.start();
  vms = await createVms(
    ZONES.map((zone) => ({ name: `edge-${zone}-1`, zone })),
    folder,
  );
  const seeds = vms.map(({ addresses }) => addresses.admin);
  for (const vm of vms) {
    vm.configure({ zones: ZONES, seeds, storeAddress: store.address });
    vm.start();
  }
  await until(
    async () =>
      (await Promise.all(vms.map((vm) => vm.isReady()))).every(Boolean),
    { timeoutMs: 15_000, what: "all VMs are ready" },
  );
  record.add("all VMs are ready");
  // Until every VM has been in touch for `connectedMs`.
  await delay(5000);
}

async function stream(index) {
  const vm = vms[index % vms.length];
  const id = `9c41d07be2a3${String(index).padStart(4, "0")}`;
  record.add(`client ${index} sends ${id} to ${vm.name}`);
  const answer = await call(vm.addresses.frontend, {
    path: `/notes/${index}`,
    headers: {
      "Host": SITE_HOST,
      "X-Request-Id": id,
      "X-Request-Deadline": "20000",
      "Authorization": `Token ${KEY}`,
      "Content-Type": "text/plain",
    },
    body: "a note",
  });
  const whole = Array.from(
    { length: EVENT_COUNT },
    (_, number) => eventOf(id, number + 1),
  ).join("");
  const eventCount = answer.body.split("\n\n").length - 1;
  record.add(
    `client ${index} got ${id}: ${answer.status}, framing ${answer.framing}, ` +
      `${eventCount} of ${EVENT_COUNT} events, channel: ${answer.end}`,
  );
  const isBroken = answer.status === 200 && answer.looksComplete &&
    answer.body !== whole;
  return {
    id,
    vm: vm.name,
    eventCount,
    isBroken,
    isWhole: answer.body === whole,
  };
}

async function main() {
  await start();
  const [victim] = vms;
  const streams = Array.from(
    { length: CLIENT_COUNT },
    (_, index) => stream(index),
  );
  if (isTrouble) {
    await delay(KILL_AFTER_MS);
    record.add(`SIGKILL to ${victim.name}`);
    await victim.end("SIGKILL");
    await delay(500);
    victim.start();
    record.add(`${victim.name} is started again`);
  }
  const answers = await Promise.all(streams);
  const broken = answers.filter(({ isBroken }) => isBroken);
  const wholeCount = answers.filter(({ isWhole }) => isWhole).length;
  for (const { id, vm, eventCount } of broken) {
    record.add(
      `BROKEN: ${id} at ${vm} looks complete after ${eventCount} of ` +
        `${EVENT_COUNT} events`,
    );
  }
  const result =
    `${broken.length} of ${answers.length} answers look complete ` +
    `and are not, ${wholeCount} are whole`;
  record.add(result);
  console.log(result);
  if (!isTrouble && wholeCount < answers.length) return NOT_RUN;
  return broken.length > 0 ? BROKEN : HELD;
}

let status = NOT_RUN;
try {
  status = await main();
} catch (error) {
  record.add(`not run: ${error.message}`);
  console.error(error.message);
}
await Promise.all(vms.map((vm) => vm.end("SIGKILL")));
for (const worker of workers) worker.stop();
store.close();
rmSync(folder, { recursive: true, force: true });
process.exit(status);
