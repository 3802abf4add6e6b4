// deno-lint-ignore-file explicit-function-return-type
/**
 * Another writer keeps entries of its own among those of the servers and writes
 * them as often as the workers do. A worker that drains must get no request later
 * than `drainMs` after the store has accepted its report.
 */
import { fileURLToPath } from "node:url";
import { Channel, deploy, now, sleep, Worker } from "../lib-3/rig.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const FOLDER = fileURLToPath(new URL(".", import.meta.url));
const HOST = "desk.example";
/** `drainMs` and `heartbeatMs` of the site. */
const DRAIN_MS = 2500;
const HEARTBEAT_MS = 1200;
/** Entries of the other writer; each is below `recordBytes` (262,144). */
const ENTRY_COUNT = 12;
const ENTRY_BYTES = 250_000;
const WRITING_MS = 30_000;
/** The worker serves on for as long after `drainMs`, then exits. */
const SERVES_ON_MS = 8000;

const manifest = {
  version: 1,
  routes: [{
    name: "lodge",
    host: HOST,
    pathPrefix: "/lodge/",
    kind: "non_idempotent",
    timeoutMs: 1500,
    goalMs: 300,
    maxAttempts: 1,
    priority: 2,
    service: "app",
  }],
  services: [{ name: "app", healthPath: "/healthz", maxConnections: 100 }],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
};
const workers = ["dub-a", "cork-a", "gal-a", "dub-a"].map((zone, index) =>
  new Worker({
    id: `i-${index + 1}`,
    service: "app",
    zone,
    capacity: 6,
    run: async ({ response, stamp }) => {
      await sleep(60);
      response.writeHead(200, { ...stamp, "Content-Length": 3 });
      response.end("yes");
    },
  })
);

async function run({ store, vms, record }) {
  let isOver = false;
  const counts = { sent: 0, served: 0 };
  const clients = vms.flatMap((vm) =>
    [0, 1, 2].map(async (index) => {
      let channel;
      for (let count = 0; !isOver; count++) {
        if (channel === undefined || !channel.isOpen) {
          channel = new Channel(vm.address, record);
        }
        const answer = await channel.send({
          method: "POST",
          path: "/lodge/1",
          host: HOST,
          id: `${vm.name}-${index}-${count}`,
          headers: { "X-Request-Deadline": "1500" },
          body: Buffer.from("a claim"),
        });
        counts.sent += 1;
        if (answer.status === 200 && answer.isWhole) {
          counts.served += 1;
        }
        await sleep(60);
      }
      channel?.close();
    })
  );
  let writing;
  if (HAS_TROUBLE) {
    record.add(
      `another writer begins: ${ENTRY_COUNT} entries of ${ENTRY_BYTES} bytes, each every ${HEARTBEAT_MS} ms`,
    );
    const text = JSON.stringify({
      kind: "note",
      text: "x".repeat(ENTRY_BYTES - 100),
    });
    let written = 0;
    writing = setInterval(() => {
      store.put(
        "keyed.servers",
        `other-${written % ENTRY_COUNT}`,
        Buffer.from(text),
      );
      written += 1;
    }, HEARTBEAT_MS / ENTRY_COUNT);
  }
  await sleep(WRITING_MS);
  const [leaving] = workers;
  leaving.isDraining = true;
  store.put("keyed.servers", leaving.id, leaving.entry("draining"));
  const ackedMs = now();
  record.add(
    `worker ${leaving.id} reports draining; the store has accepted it`,
  );
  await sleep(DRAIN_MS + SERVES_ON_MS);
  clearInterval(writing);
  isOver = true;
  await Promise.all(clients);
  const late = leaving.runs.filter(({ atMs }) => atMs > ackedMs + DRAIN_MS);
  const last = leaving.runs.at(-1)?.atMs ?? 0;
  for (const { id, atMs } of late) {
    record.add(
      `BROKEN ${id} reached ${leaving.id} ${
        (atMs - ackedMs).toFixed(0)
      } ms after the ack`,
    );
  }
  const text =
    `${late.length} requests reached the draining worker later than ${DRAIN_MS} ms, the last one ${
      (last - ackedMs).toFixed(0)
    } ms after the ack; served ${counts.served} of ${counts.sent}`;
  record.add(text);
  console.log(text);
  return late.length > 0 ? 1 : 0;
}

process.exit(
  await deploy({ folder: FOLDER, manifest, workers, memoryMb: 200 }, run),
);
