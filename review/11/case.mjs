// deno-lint-ignore-file explicit-function-return-type
/**
 * Another writer has left unreadable entries among the servers of the store, each
 * and all together within the store's bounds. No process of the gateway may end
 * for that: they name no worker to use.
 */
import { fileURLToPath } from "node:url";
import { Channel, deploy, now, sleep, Worker } from "../lib-3/rig.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const FOLDER = fileURLToPath(new URL(".", import.meta.url));
const HOST = "desk.example";
/** `limits.memoryMb` of the site's machines. */
const MEMORY_MB = 200;
/** Below `recordBytes` (262,144). */
const ENTRY_BYTES = 250_000;
/** 100 MB together; a partition holds `partMb` (200). */
const ENTRY_COUNT = 400;
const LENGTH_MS = 45_000;
/** The platform starts a process again after a short delay. */
const RESTART_MS = 500;

const manifest = {
  version: 1,
  routes: [{
    name: "status",
    host: HOST,
    pathPrefix: "/status/",
    kind: "idempotent",
    timeoutMs: 1500,
    goalMs: 300,
    maxAttempts: 2,
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
const workers = ["dub-a", "cork-a", "gal-a"].map((zone, index) =>
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

/** What another writer has left in the store. */
function prepare({ store, record }) {
  if (!HAS_TROUBLE) return;
  for (let count = 0; count < ENTRY_COUNT; count++) {
    store.put("keyed.servers", `other-${count}`, Buffer.alloc(ENTRY_BYTES, 1));
  }
  record.add(
    `another writer has written ${ENTRY_COUNT} entries of ${ENTRY_BYTES} bytes`,
  );
}

async function run({ vms, record }) {
  const endMs = now() + LENGTH_MS;
  const ends = new Map(vms.map(({ name }) => [name, 0]));
  // As the platform does: ends a process over its memory, starts ended ones.
  const platform = vms.map(async (vm) => {
    while (now() < endMs) {
      const mb = vm.memoryMbNow();
      if (vm.isRunning && mb > MEMORY_MB) {
        record.add(
          `${vm.name} has ${mb.toFixed(0)} MB, over ${MEMORY_MB}: killed`,
        );
        await vm.end("SIGKILL");
      }
      if (!vm.isRunning) {
        ends.set(vm.name, ends.get(vm.name) + 1);
        const { code, signal } = vm.exits.at(-1);
        record.add(`${vm.name} ended (${code ?? signal})`);
        await sleep(RESTART_MS);
        vm.start();
      }
      await sleep(20);
    }
  });
  let sentCount = 0;
  let servedCount = 0;
  const clients = vms.flatMap((vm) =>
    [0, 1].map(async (index) => {
      let channel;
      for (let count = 0; now() < endMs; count++) {
        if (channel === undefined || !channel.isOpen) {
          channel = new Channel(vm.address, record);
        }
        const answer = await channel.send({
          path: "/status/1",
          host: HOST,
          id: `${vm.name}-${index}-${count}`,
          headers: { "X-Request-Deadline": "1500" },
        });
        sentCount += 1;
        if (answer.status === 200 && answer.isWhole) {
          servedCount += 1;
        }
        await sleep(200);
      }
      channel?.close();
    })
  );
  await Promise.all([...platform, ...clients]);
  const counts = [...ends.values()];
  const text = `processes ended by themselves ${
    counts.join(", ")
  } times; served ${servedCount} of ${sentCount}; peak MB ${
    vms.map(({ peakMb }) => peakMb.toFixed(0)).join(", ")
  }`;
  record.add(text);
  console.log(text);
  // Fault: two machines at least end by themselves three times.
  return counts.filter((count) => count >= 3).length >= 2 ? 1 : 0;
}

process.exit(
  await deploy({
    folder: FOLDER,
    manifest,
    workers,
    memoryMb: MEMORY_MB,
    prepare,
    isReadyAwaited: false,
  }, run),
);
