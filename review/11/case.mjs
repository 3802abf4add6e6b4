/**
 * A worker that drains exits while it sends streams that have no length. Each
 * stream that its client gets as complete must have all its pieces.
 */
import { fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { Channel, deploy, sleep } from "../lib-3/rig.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const FOLDER = fileURLToPath(new URL(".", import.meta.url));
const HOST = "desk.example";
const PIECES = 24;
const GAP_MS = 400;
/** The worker reports that it drains while the streams are on the way. */
const DRAIN_AT_MS = 1500;
/** `drainMs` is 2,500; it serves a little longer, then exits. */
const EXIT_AFTER_MS = 3300;

const manifest = {
  version: 1,
  routes: [{
    name: "explain", host: HOST, pathPrefix: "/explain/", kind: "streaming",
    timeoutMs: 20000, goalMs: 2000, itlTargetMs: 1500, maxAttempts: 3, priority: 0, service: "app",
  }],
  services: [{ name: "app", healthPath: "/healthz", maxConnections: 100 }],
  limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
};

/** A worker process, with what the deployment needs of it. */
class WorkerProcess {
  sequence = 0;
  born = Date.now();
  ended = new Map();
  constructor(id, zone) {
    Object.assign(this, { id, zone });
  }
  async start() {
    const settings = { id: this.id, pieces: PIECES, gapMs: GAP_MS, isFramed: false, exitAfterMs: EXIT_AFTER_MS };
    this.child = fork(fileURLToPath(new URL("../lib-3/worker_main.mjs", import.meta.url)), [JSON.stringify(settings)]);
    this.child.once("exit", () => this.record.add(`worker ${this.id} has exited`));
    const port = await new Promise((resolve) => {
      this.child.on("message", (message) => {
        if (message.kind === "listening") return resolve(message.port);
        this.record.add(`worker ${this.id} ${message.kind} ${message.requestId}${message.kind === "end" ? ` after ${message.pieces} pieces` : ""}`);
        if (message.kind === "run") this.ended.set(message.requestId, false);
      });
    });
    this.address = `127.0.0.1:${port}`;
  }
  entry(state = "ready") {
    this.sequence += 1;
    const { address, zone, sequence, born } = this;
    return { service: "app", address, zone, version: "v1", capacity: 16, state, coldRemainingMs: 0, sequence, born };
  }
  close() {
    this.child.kill("SIGKILL");
  }
}

const workers = ["dub-a", "cork-a", "gal-a"].map((zone, index) => new WorkerProcess(`i-${index + 1}`, zone));

async function run({ store, vms, record }) {
  const answers = [];
  for (let index = 0; index < 18; index++) {
    const channel = new Channel(vms[index % vms.length].address, record);
    answers.push(channel.send({
      method: "POST", path: "/explain/1", host: HOST, id: `stream-${index}`,
      headers: { "X-Request-Deadline": "20000" }, body: Buffer.from("a question"),
    }).finally(() => channel.close()));
  }
  await sleep(DRAIN_AT_MS);
  if (HAS_TROUBLE) {
    const [leaving] = workers;
    leaving.isDraining = true;
    store.put("keyed.servers", leaving.id, leaving.entry("draining"));
    record.add(`worker ${leaving.id} reports draining`);
    leaving.child.send("drain");
    leaving.child.once("exit", () => {
      leaving.isGone = true;
      store.put("keyed.servers", leaving.id);
    });
  }
  let falseCount = 0;
  let completeCount = 0;
  for (const [index, answer] of (await Promise.all(answers)).entries()) {
    if (answer.status !== 200 || !answer.isWhole) continue;
    completeCount += 1;
    const count = answer.body.toString().split("\n\n").length - 1;
    if (count === PIECES) continue;
    falseCount += 1;
    record.add(`BROKEN stream-${index} ended as complete after ${count} of ${PIECES} pieces`);
  }
  record.add(`${completeCount} streams ended as complete, ${falseCount} of them before their last piece`);
  console.log(`${completeCount} complete, ${falseCount} of them false`);
  return falseCount > 0 ? 1 : 0;
}

process.exit(await deploy({ folder: FOLDER, manifest, workers }, run));
