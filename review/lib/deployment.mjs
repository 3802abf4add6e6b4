// Plain JavaScript has no return types.
// deno-lint-ignore-file explicit-function-return-type
/**
 * A small deployment for the review's cases: the project's own program, started
 * as the deploy file says, one process a machine, between stand-ins of the
 * platform's store and of workers. All addresses are loopback addresses.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createTcpServer } from "node:net";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { HOST } from "./host.mjs";
import { StoreStandin } from "./store.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const HEARTBEAT_MS = 1200;
/** The platform starts a process that has ended again after a short delay. */
const RESTART_MS = 500;
const ZONES = ["zone-a", "zone-b", "zone-c"];

/** Processes that this one has started; none outlives it. */
const children = new Set();
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const name of ["SIGINT", "SIGTERM", "SIGHUP"]) {
  process.on(name, () => process.exit(2));
}

/** Whether the case runs with its disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";

export async function freePort() {
  const server = createTcpServer().listen(0, HOST);
  await once(server, "listening");
  const { port } = server.address();
  server.close();
  await once(server, "close");
  return port;
}

/** Writes the record of a case, one line an event, with seconds since start. */
export class CaseRecord {
  #file;
  #startedAt = performance.now();
  constructor(folder) {
    this.#file = join(folder, "record.txt");
    writeFileSync(this.#file, `trouble: ${TROUBLE ? "yes" : "no"}\n`);
  }
  write(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    appendFileSync(this.#file, `${seconds} ${text}\n`);
  }
}

/** One machine: a process of the project's program. */
class Machine {
  /** How often the process has ended by itself after it had started. */
  ownEndCount = 0;
  output = "";
  #isEnding = false;
  #isKilled = false;
  constructor(name, folder, settings, addresses, record) {
    Object.assign(this, { name, addresses, record });
    this.file = join(folder, `${name}.conf`);
    writeFileSync(this.file, settings);
  }
  start() {
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, GOLDCRESTPOST_BOOT: this.file };
    // `run` of the deploy file.
    this.child = spawn(
      "node",
      ["--max-old-space-size=96", "target/main.cjs"],
      { cwd: ROOT, env, stdio: ["ignore", "pipe", "pipe"] },
    );
    const { child } = this;
    children.add(child);
    child.on("exit", () => children.delete(child));
    let own = "";
    const keep = (chunk) => {
      own = (own + chunk).slice(-400_000);
      this.output = (this.output + chunk).slice(-400_000);
    };
    this.child.stdout.on("data", keep);
    this.child.stderr.on("data", keep);
    this.child.on("close", (code, signal) => {
      if (this.#isEnding) return;
      const isOwnEnd = !this.#isKilled;
      this.#isKilled = false;
      const hadStarted = own.includes('"event":"started"');
      if (isOwnEnd && hadStarted) this.ownEndCount += 1;
      const cause = /"invariant broken","message":"([^\\]*)/.exec(own)?.[1];
      this.record.write(
        `machine ${this.name} ended${isOwnEnd ? " by itself" : ""}` +
          `${hadStarted ? "" : " before it had started"}: code ${code}, ` +
          `signal ${signal}${cause === undefined ? "" : `, ${cause}`}`,
      );
      setTimeout(() => this.#isEnding || this.start(), RESTART_MS);
    });
  }
  /** Ends the process for good. */
  async end() {
    this.#isEnding = true;
    const { child } = this;
    if (child.exitCode !== null || child.signalCode !== null) return;
    child.kill("SIGKILL");
    await once(child, "exit");
  }
  signal(name) {
    this.record.write(`machine ${this.name} gets ${name}`);
    if (["SIGKILL", "SIGTERM"].includes(name)) this.#isKilled = true;
    this.child.kill(name);
  }
  async isReady() {
    const status = await new Promise((resolve) => {
      const sent = request(`http://${this.addresses.readiness}/-/ready`, {
        agent: false,
        timeout: 500,
      }, (answer) => {
        answer.resume();
        resolve(answer.statusCode);
      });
      sent.on("timeout", () => sent.destroy());
      sent.on("error", () => resolve(0));
      sent.end();
    });
    return status === 200;
  }
}

/**
 * Starts the store, writes the manifest, registers the workers and starts the
 * machines. `workers` have `id`, `service`, `address` and perhaps `zone`.
 */
export async function startDeployment({
  folder,
  manifest,
  workers,
  machineCount = 3,
  /** The machines' zones, in turn. */
  zones = ZONES,
  settings = {},
}) {
  const record = new CaseRecord(folder);
  const temporary = mkdtempSync(join(tmpdir(), "review-"));
  const store = new StoreStandin();
  store.put("keyed.op", "config", manifest);
  const sequences = new Map();
  const beat = (worker) => {
    const sequence = 1 + (sequences.get(worker.id) ?? 0);
    sequences.set(worker.id, sequence);
    store.put("keyed.servers", worker.id, {
      service: worker.service,
      address: worker.address,
      zone: worker.zone ?? ZONES[0],
      version: worker.version ?? "v1",
      capacity: worker.capacity ?? 6,
      state: worker.state ?? "ready",
      coldRemainingMs: 0,
      born: worker.born ?? 1_700_000_000_000,
      sequence,
    });
  };
  for (const worker of workers) beat(worker);
  const heartbeats = setInterval(() => {
    for (const worker of workers) if (!worker.isSilent) beat(worker);
  }, HEARTBEAT_MS);
  const ports = [];
  const storeAddresses = [];
  for (let index = 0; index < machineCount; index++) {
    const [frontend, readiness, admin, registry, metrics] = [
      await freePort(),
      await freePort(),
      await freePort(),
      await freePort(),
      await freePort(),
    ];
    ports.push({
      frontend: `${HOST}:${frontend}`,
      readiness: `${HOST}:${readiness}`,
      admin: `${HOST}:${admin}`,
      registry: `${HOST}:${registry}`,
      metrics,
    });
    // An address of the one store for each machine, to tell their calls.
    storeAddresses.push(await store.start(`m${index}`));
  }
  const machines = ports.map((addresses, index) => {
    const zone = zones[index % zones.length];
    const lines = {
      nodeName: `edge-${zone}-${index}`,
      role: "gateway",
      instanceClass: "edge",
      serves: "edge,control_plane,registry",
      ip: HOST,
      zone,
      region: zone,
      ...Object.fromEntries(
        [...new Set([...ZONES, ...zones])].map((
          name,
        ) => [`zones.${name}`, name]),
      ),
      "bind.frontend": addresses.frontend,
      "bind.readiness": addresses.readiness,
      "bind.admin": addresses.admin,
      "bind.registry": addresses.registry,
      portRange: `${addresses.metrics},${addresses.metrics}`,
      seeds: ports.slice(0, 3).map(({ admin }) => admin).join(","),
      bootstrap: "true",
      "limits.cpuShare": "0.675",
      "limits.vcpus": "1",
      "limits.memoryMb": "350",
      "limits.maxFds": "4100",
      heartbeatMs: String(HEARTBEAT_MS),
      "guarantees.connectedMs": "4000",
      "guarantees.drainMs": "2500",
      "guarantees.graceS": "8",
      "guarantees.lossSlackMs": "200",
      "guarantees.convergeMs": "2500",
      "guarantees.retryRatio": "0.9",
      "guarantees.retryWindowS": "10",
      "guarantees.retrySlack": "56",
      "guarantees.canaryShare": "0.15",
      "guarantees.canarySlack": "30",
      "guarantees.ttl_max_s": "5",
      "provider.address": storeAddresses[index],
      "provider.form": "log",
      ...settings,
    };
    const text = Object.entries(lines).map(([name, value]) =>
      `${name}=${value}`
    )
      .join("\n");
    return new Machine(`m${index}`, temporary, text, addresses, record);
  });
  for (const machine of machines) machine.start();
  const end = async () => {
    clearInterval(heartbeats);
    for (const machine of machines) await machine.end();
    store.close();
    rmSync(temporary, { recursive: true, force: true });
  };
  try {
    await untilReady(machines);
  } catch (error) {
    await end();
    throw error;
  }
  record.write(`${machines.length} machines are ready`);
  // Traffic starts some seconds after the machines do.
  await delay(3000);
  return { record, store, machines, end, beat };
}

export async function untilReady(machines) {
  const untilMs = performance.now() + 20_000;
  for (;;) {
    const ready = await Promise.all(machines.map((one) => one.isReady()));
    if (ready.every(Boolean)) return;
    if (performance.now() > untilMs) {
      throw new Error(`not ready: ${machines.map((m) => m.output).join("\n")}`);
    }
    await delay(100);
  }
}

/** The fields of all manifests here. */
export function manifestOf({ version = 1, routes, services, tenants }) {
  return {
    version,
    routes,
    services: services.map((name) => ({ name, healthPath: "/healthz" })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants,
  };
}

/**
 * Runs a case and exits with 1 if it returns that the rule was broken, 0 if it
 * held, and 2 if it could not run.
 */
export async function runCase(run) {
  const timer = setTimeout(() => {
    process.stderr.write("the case took too long\n");
    process.exit(2);
  }, 110_000);
  try {
    const isBroken = await run();
    clearTimeout(timer);
    process.exit(isBroken ? 1 : 0);
  } catch (error) {
    process.stderr.write(`${error.stack ?? error}\n`);
    process.exit(2);
  }
}

export { delay };
