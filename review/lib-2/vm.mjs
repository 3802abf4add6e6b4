// Plain JavaScript has no return types.
// deno-lint-ignore-file explicit-function-return-type
// A VM of the system: the program of the deploy file in a process of its own.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, writeFileSync } from "node:fs";
import { get } from "node:http";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { freePorts, HOST } from "./net.mjs";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
/** The command of `deploy/system.toml`. */
const COMMAND = ["node", "--max-old-space-size=96", "target/main.cjs"];

export class Vm {
  name;
  zone;
  addresses;
  #folder;
  #settingsPath;
  #child;

  constructor({ name, zone, ports, folder }) {
    this.name = name;
    this.zone = zone;
    this.#folder = folder;
    this.#settingsPath = join(folder, `${name}.conf`);
    const [frontend, readiness, admin, registry, own] = ports;
    this.addresses = {
      frontend: `${HOST}:${frontend}`,
      readiness: `${HOST}:${readiness}`,
      admin: `${HOST}:${admin}`,
      registry: `${HOST}:${registry}`,
      portRange: `${own},${own}`,
    };
  }

  /** Writes the settings file, with the fields of a small deployment. */
  configure({ zones, seeds, storeAddress, guarantees = {} }) {
    const { frontend, readiness, admin, registry, portRange } = this.addresses;
    const bounds = {
      seedLagS: 3,
      reuseAfterS: 2,
      connectedMs: 4000,
      ackMs: 5000,
      syncS: 4,
      drainMs: 2500,
      graceS: 8,
      lossSlackMs: 200,
      convergeMs: 2500,
      downgradeMs: 250,
      maxSkewMs: 6000,
      retryRatio: 0.9,
      retryWindowS: 10,
      retrySlack: 54,
      canaryShare: 0.15,
      canarySlack: 30,
      rollbackMs: 5000,
      recoveryS: 12,
      deliveryLagMs: 250,
      reuseWindowS: 8.8,
      sessionS: 5,
      "ttl_max_s": 5,
      ...guarantees,
    };
    const lines = [
      `nodeName=${this.name}`,
      "role=gateway",
      "instanceClass=edge",
      "serves=edge,control_plane,registry",
      `ip=${HOST}`,
      `zone=${this.zone}`,
      `region=${this.zone.split("-")[0]}`,
      ...zones.map((zone) => `zones.${zone}=${zone.split("-")[0]}`),
      `bind.frontend=${frontend}`,
      `bind.readiness=${readiness}`,
      `bind.admin=${admin}`,
      `bind.registry=${registry}`,
      `portRange=${portRange}`,
      `seeds=${seeds.join(",")}`,
      "bootstrap=false",
      "limits.cpuShare=0.675",
      "limits.vcpus=1",
      "limits.memoryMb=200",
      "limits.maxFds=4100",
      "heartbeatMs=1200",
      `provider.address=${storeAddress}`,
      "provider.form=log",
      ...Object.entries(bounds).map(([key, value]) =>
        `guarantees.${key}=${value}`
      ),
    ];
    writeFileSync(this.#settingsPath, lines.join("\n"));
  }

  get isRunning() {
    return this.#child !== undefined && this.#child.exitCode === null &&
      this.#child.signalCode === null;
  }

  start() {
    const [program, ...args] = COMMAND;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        GOLDCRESTPOST_BOOT: this.#settingsPath,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(join(this.#folder, `${this.name}.log`), {
      flags: "a",
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log, { end: false });
    this.#child = child;
  }

  /** Sends a signal to the process that this script started. */
  signal(name) {
    this.#child?.kill(name);
  }

  async end(name) {
    if (!this.isRunning) return;
    const ended = once(this.#child, "exit");
    this.#child.kill(name);
    await ended;
  }

  /** Asks for readiness as the platform does. */
  async isReady() {
    const answer = await fetchJson(this.addresses.readiness, "/-/ready");
    return answer?.status === 200;
  }

  /** Asks for addresses as a client does. */
  async resolve(host, zone) {
    const region = zone.split("-")[0];
    const path = `/-/resolve?name=${host}&region=${region}&zone=${zone}`;
    const answer = await fetchJson(this.addresses.registry, path);
    return answer?.status === 200 ? answer.body : undefined;
  }
}

/** Creates VMs with free ports; they are configured and started later. */
export async function createVms(names, folder) {
  const PORTS_PER_VM = 5;
  const ports = await freePorts(PORTS_PER_VM * names.length);
  return names.map(({ name, zone }, index) =>
    new Vm({
      name,
      zone,
      folder,
      ports: ports.slice(PORTS_PER_VM * index, PORTS_PER_VM * (index + 1)),
    })
  );
}

function fetchJson(address, path) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const request = get({ host, port, path, agent: false }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => resolve(undefined));
      response.on("end", () => {
        try {
          const body = JSON.parse(Buffer.concat(chunks).toString());
          resolve({ status: response.statusCode, body });
        } catch {
          resolve(undefined);
        }
      });
    });
    request.setTimeout(1000, () => request.destroy());
    request.on("error", () => resolve(undefined));
  });
}
