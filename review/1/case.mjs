/**
 * Workers leave a service one after the other, each replaced by another one
 * before. Some never report `draining`: their entry is removed, and they serve
 * on for drainMs and a little longer. Meanwhile the process of a machine that
 * reads the store for others is killed now and then, and starts again. No machine
 * in touch may send a request to a worker later than drainMs after its leaving
 * was acknowledged.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { send } from "../lib/client.mjs";
import {
  delay,
  manifestOf,
  runCase,
  startDeployment,
  TROUBLE,
} from "../lib/deployment.mjs";
import { WorkerStandin } from "../lib/worker.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HOST = "desk.example";
const KEY = "k3yoftenantone";
const ZONES = ["zone-a", "zone-b", "zone-c"];
const MACHINE_COUNT = 6;
const WORKERS_A_ZONE = 3;
const WORK_MS = 300;
const CALL_EVERY_MS = 40;
const ROUND_MS = 3000;
const ROUND_COUNT = 26;
const DRAIN_MS = 2500;
const LINGER_MS = 2500;
const CONNECTED_MS = 4000;
/** A worker leaves this long after a machine was killed, drawn anew. */
const LEAVES_AFTER_MS = { min: 300, max: 900 };

await runCase(async () => {
  /** When the leaving of each worker was acknowledged. */
  const leftAtMs = new Map();
  const killedAtMs = new Map();
  const machineOf = new Map();
  const late = [];
  const now = () => performance.now();
  const isInTouch = (machine) =>
    now() - (killedAtMs.get(machine) ?? -Infinity) > CONNECTED_MS + 2000;
  const run = ({ head, requestId, worker }) => {
    const lateMs = now() - (leftAtMs.get(worker.id) ?? Infinity);
    const machine = machineOf.get(requestId);
    if (lateMs > DRAIN_MS && isInTouch(machine)) {
      late.push({ requestId, machine, worker: worker.id, lateMs });
    }
    setTimeout(() => {
      const body = `done ${requestId}`;
      head(200, { "content-length": body.length }).end(body);
    }, WORK_MS);
  };
  let workerCount = 0;
  const startWorker = (zone) =>
    new WorkerStandin({
      id: `w-${++workerCount}`,
      service: "desk",
      zone,
      capacity: 32,
      onRun: run,
    }).start();
  const workers = [];
  for (const zone of ZONES) {
    for (let index = 0; index < WORKERS_A_ZONE; index++) {
      workers.push(await startWorker(zone));
    }
  }
  const { record, machines, store, end, beat } = await startDeployment({
    folder: FOLDER,
    workers,
    machineCount: MACHINE_COUNT,
    manifest: manifestOf({
      routes: [{
        name: "register",
        host: HOST,
        pathPrefix: "/register/",
        service: "desk",
        kind: "non_idempotent",
        timeoutMs: 3000,
        goalMs: 1000,
        maxAttempts: 1,
      }],
      services: ["desk"],
      tenants: [{ name: "one", apiKeys: [KEY] }],
    }),
  });
  // The machines that read the workers' entries, by their calls of late.
  const readAtMs = new Map();
  store.onCall = (name, url) => {
    if (url.includes("log-read") && url.includes("keyed.servers")) {
      readAtMs.set(name, now());
    }
  };
  const readers = () =>
    machines.filter(({ name }) => now() - (readAtMs.get(name) ?? 0) < 1500);
  const statuses = new Map();
  const open = new Set();
  let count = 0;
  const call = async (machine) => {
    const id = `q${++count}`;
    machineOf.set(id, machine.name);
    const { frontend } = machine.addresses;
    const { status } = await send(frontend, {
      id,
      host: HOST,
      key: KEY,
      path: "/register/one",
      deadlineMs: 3000,
    });
    statuses.set(id, status);
  };
  const traffic = setInterval(() => {
    for (const machine of machines) {
      const done = call(machine);
      open.add(done);
      void done.finally(() => open.delete(done));
    }
  }, CALL_EVERY_MS);
  const leave = async (worker) => {
    workers.splice(workers.indexOf(worker), 1);
    store.put("keyed.servers", worker.id);
    leftAtMs.set(worker.id, now());
    record.write(`${worker.id} in ${worker.zone} leaves`);
    await delay(DRAIN_MS + LINGER_MS);
    worker.crash();
  };
  await delay(2000);
  for (let round = 0; round < ROUND_COUNT; round++) {
    const known = readers().filter(({ name }) => isInTouch(name));
    const reader = known[round % Math.max(1, known.length)];
    const zone = ZONES[machines.indexOf(reader ?? machines[0]) % ZONES.length];
    const replacement = await startWorker(zone);
    workers.push(replacement);
    beat(replacement);
    await delay(500);
    if (TROUBLE && reader !== undefined) {
      killedAtMs.set(reader.name, now());
      reader.signal("SIGKILL");
    }
    const { min, max } = LEAVES_AFTER_MS;
    await delay(min + Math.random() * (max - min));
    const worker = workers.find((one) => one.zone === zone);
    open.add(leave(worker));
    await delay(ROUND_MS - 500 - max);
  }
  await delay(DRAIN_MS + LINGER_MS);
  clearInterval(traffic);
  await Promise.all(open);
  for (const { requestId, machine, worker, lateMs } of late) {
    record.write(
      `${requestId} reached ${worker} ${lateMs.toFixed(0)} ms after it had ` +
        `left, from ${machine}; its client got ${statuses.get(requestId)}`,
    );
  }
  const lost = late.filter(({ requestId }) => statuses.get(requestId) !== 200);
  record.write(`of these, run and not served: ${lost.length}`);
  record.write(`requests later than ${DRAIN_MS} ms: ${late.length}`);
  await end();
  return late.length > 0;
});
