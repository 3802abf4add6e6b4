// deno-lint-ignore-file explicit-function-return-type
/**
 * A small deployment on loopback addresses: the gateway's bundle as separate
 * processes, started as deploy/system.toml says, before stand-ins of the
 * platform's store and of workers. No dependencies.
 */
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const now = () => performance.now();

/** Writes lines to `record.txt` in the folder of a case, with the time. */
export class Recorder {
  constructor(folder) {
    this.file = join(folder, "record.txt");
    this.startedMs = now();
    writeFileSync(this.file, "");
    this.lines = [];
  }
  add(text) {
    this.lines.push(`${((now() - this.startedMs) / 1000).toFixed(3)} ${text}`);
    if (this.lines.length >= 200) this.flush();
  }
  flush() {
    if (this.lines.length > 0) {
      appendFileSync(this.file, this.lines.join("\n") + "\n");
    }
    this.lines = [];
  }
}

/** Ports of each VM, below the range from which connections leave. */
const PORTS = {
  frontend: 8227,
  readiness: 8220,
  admin: 8229,
  registry: 8224,
  range: 7340,
};

/** Resolves to the beginning of loopback addresses that no other run uses. */
async function freeNetwork() {
  for (;;) {
    const network = `127.${10 + Math.floor(Math.random() * 200)}.${
      Math.floor(Math.random() * 250)
    }`;
    const isFree = await new Promise((resolve) => {
      const server = net.createServer().once("error", () => resolve(false));
      server.listen(
        PORTS.frontend,
        `${network}.1`,
        () => server.close(() => resolve(true)),
      );
    });
    if (isFree) return network;
  }
}

/** The platform's store: compacted topics, long poll, conditional append. */
export class Store {
  constructor() {
    this.topics = new Map();
    this.waiters = new Set();
    this.server = http.createServer((request, response) =>
      this.#handle(request, response)
    );
    this.server.keepAliveTimeout = 600_000;
  }
  async start() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this.address;
  }
  put(topic, key, value) {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.isBuffer(value)
      ? value
      : Buffer.from(JSON.stringify(value));
    this.#of(topic).push({ key, value: bytes });
    for (const wake of [...this.waiters]) wake();
  }
  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
  #of(topic) {
    if (!this.topics.has(topic)) this.topics.set(topic, []);
    return this.topics.get(topic);
  }
  #handle(request, response) {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => response.destroy());
    request.on("end", () => {
      const url = new URL(request.url, "http://store");
      const records = this.#of(url.searchParams.get("topic") ?? "");
      if (url.pathname === "/-/log-newest") {
        return newest(records, url, response);
      }
      if (url.pathname === "/-/log-read") {
        return this.#read(records, url, response);
      }
      if (url.pathname === "/-/log-append") {
        const at = url.searchParams.get("at");
        if (at !== null && Number(at) !== records.length) {
          response.writeHead(412).end(JSON.stringify({ end: records.length }));
          return;
        }
        const offset = records.length;
        const body = Buffer.concat(chunks);
        for (let start = 0; start + 4 <= body.length;) {
          const end = start + 4 + body.readUInt32BE(start);
          const record = body.subarray(start + 4, end);
          const length = record[0];
          records.push({
            key: record.subarray(1, 1 + length).toString(),
            value: record.subarray(1 + length),
          });
          start = end;
        }
        response.end(JSON.stringify({ offset, end: records.length }));
        return;
      }
      response.writeHead(404).end();
    });
  }
  #read(records, url, response) {
    const from = Number(url.searchParams.get("from"));
    const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
    const maxBytes = 1024 * Number(url.searchParams.get("maxKb") ?? 1024);
    const answer = () => {
      clearTimeout(timer);
      this.waiters.delete(wake);
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(records.length), 0);
      const parts = [head];
      let bytes = 0;
      for (let offset = from; offset < records.length; offset++) {
        const part = encode(records[offset]);
        bytes += part.length;
        if (parts.length > 1 && bytes > maxBytes) break;
        parts.push(part);
      }
      response.end(Buffer.concat(parts));
    };
    const wake = () => {
      if (records.length > from) answer();
    };
    const timer = setTimeout(answer, waitMs);
    if (records.length > from) return answer();
    this.waiters.add(wake);
  }
}

function newest(records, url, response) {
  const byKey = new Map();
  records.forEach(({ key, value }, offset) =>
    byKey.set(key, { value, offset })
  );
  const after = url.searchParams.get("after") ?? "";
  const keys = [...byKey.keys()].filter((key) =>
    byKey.get(key).value.length > 0 && key > after
  ).sort();
  const page = [];
  let bytes = 0;
  for (const key of keys) {
    bytes += Math.ceil(byKey.get(key).value.length / 3) * 4 + key.length;
    if (page.length === 500 || (page.length > 0 && bytes > 1024 * 1024)) break;
    page.push(key);
  }
  const items = page.map((key) => ({
    key,
    value: byKey.get(key).value.toString("base64"),
    offset: byKey.get(key).offset,
  }));
  response.end(
    JSON.stringify({
      items,
      hasMore: keys.length > page.length,
      end: records.length,
    }),
  );
}

function encode({ key, value }) {
  const bytes = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + bytes.length + value.length, 0);
  head[4] = bytes.length;
  return Buffer.concat([head, bytes, value]);
}

/** A process of the gateway. */
export class Vm {
  constructor(
    {
      network,
      index,
      name,
      zone,
      zones,
      ports,
      storeAddress,
      seeds,
      folder,
      settings = {},
      memoryMb = 200,
    },
  ) {
    this.ip = `${network}.${index}`;
    this.name = name;
    this.ports = ports;
    this.memoryMb = memoryMb;
    this.address = `${this.ip}:${ports.frontend}`;
    this.peakMb = 0;
    this.exits = [];
    this.file = join(folder, `${name}.conf`);
    this.logFile = join(folder, `${name}.log`);
    const lines = {
      nodeName: name,
      role: "gateway",
      instanceClass: "edge",
      serves: "edge,control_plane,registry",
      ip: this.ip,
      zone,
      region: zones[zone],
      ...Object.fromEntries(
        Object.entries(zones).map(([key, value]) => [`zones.${key}`, value]),
      ),
      "bind.frontend": `${this.ip}:${ports.frontend}`,
      "bind.readiness": `${this.ip}:${ports.readiness}`,
      "bind.admin": `${this.ip}:${ports.admin}`,
      "bind.registry": `${this.ip}:${ports.registry}`,
      portRange: `${ports.range},${ports.range + 15}`,
      seeds: seeds.join(","),
      bootstrap: "true",
      "limits.cpuShare": 0.675,
      "limits.vcpus": 1,
      "limits.memoryMb": memoryMb,
      "limits.maxFds": 4100,
      "limits.bandwidthMbps": "1000.0",
      "limits.diskMb": 0,
      discovery: "platform",
      ingress: "registry",
      heartbeatMs: 1200,
      contracts:
        "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout",
      "faultTolerance.nodes": 2,
      "faultTolerance.zones": 0,
      "faultTolerance.regions": 0,
      "guarantees.connectedMs": 4000,
      "guarantees.ackMs": 5000,
      "guarantees.drainMs": 2500,
      "guarantees.graceS": 8,
      "guarantees.lossSlackMs": 200,
      "guarantees.convergeMs": 2500,
      "guarantees.downgradeMs": 250,
      "guarantees.retryRatio": 0.9,
      "guarantees.retryWindowS": 10,
      "guarantees.retrySlack": 54,
      "guarantees.canaryShare": 0.15,
      "guarantees.canarySlack": 30,
      "guarantees.rollbackMs": 5000,
      "guarantees.recoveryS": 12,
      "guarantees.sessionS": 5,
      "guarantees.ttl_max_s": 5,
      "provider.address": storeAddress,
      "provider.form": "log",
      "provider.recordBytes": 262144,
      ...settings,
    };
    writeFileSync(
      this.file,
      Object.entries(lines).map(([key, value]) => `${key}=${value}\n`).join(""),
    );
  }
  start() {
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn("node", ["--max-old-space-size=96", "target/main.cjs"], {
      cwd: ROOT,
      env: {
        PATH,
        HOME,
        ...(LANG === undefined ? {} : { LANG }),
        GOLDCRESTPOST_BOOT: this.file,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const child = this.child;
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (chunk) => appendFileSync(this.logFile, chunk));
    }
    child.once("exit", (code, signal) => this.exits.push({ code, signal }));
  }
  get isRunning() {
    return this.child !== undefined && this.child.exitCode === null &&
      this.child.signalCode === null;
  }
  signal(name) {
    if (this.isRunning) this.child.kill(name);
  }
  async end(name) {
    if (!this.isRunning) return;
    const ended = new Promise((resolve) => this.child.once("exit", resolve));
    this.child.kill(name);
    await ended;
  }
  /** The process's own resident memory, without the pages of files, in MB. */
  memoryMbNow() {
    try {
      const text = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
      const mb = Number(/RssAnon:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1024;
      this.peakMb = Math.max(this.peakMb, mb);
      return mb;
    } catch {
      return 0;
    }
  }
  isReady() {
    return new Promise((resolve) => {
      const request = http.get({
        host: this.ip,
        port: this.ports.readiness,
        path: "/-/ready",
        agent: false,
        timeout: 1000,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on("error", () => resolve(false));
      request.on("timeout", () => request.destroy());
    });
  }
}

/** A worker: reads whole requests, and leaves the answer to `run`. */
export class Worker {
  constructor(
    { id, service, zone, capacity = 6, version = "v1", run, record },
  ) {
    Object.assign(this, { id, service, zone, capacity, version, run, record });
    this.runs = [];
    this.sequence = 0;
    this.born = Date.now();
    this.running = 0;
    this.server = http.createServer(
      { maxHeaderSize: 65536 },
      (request, response) => this.#serve(request, response),
    );
    this.server.keepAliveTimeout = 5000;
  }
  async start(port = 0) {
    await new Promise((resolve) =>
      this.server.listen(port, "127.0.0.1", resolve)
    );
    this.address = `127.0.0.1:${this.server.address().port}`;
  }
  entry(state = "ready") {
    this.sequence += 1;
    const { service, address, zone, version, capacity, sequence, born } = this;
    return {
      service,
      address,
      zone,
      version,
      capacity,
      state,
      coldRemainingMs: 0,
      sequence,
      born,
    };
  }
  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
  #serve(request, response) {
    const chunks = [];
    response.on("error", () => {});
    request.on("error", () => {});
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      if (request.url === "/healthz") {
        response.writeHead(200, { "X-Instance-Id": this.id }).end();
        return;
      }
      const id = request.headers["x-request-id"];
      const expected = request.headers["x-expect-instance"];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { "X-Not-Executed": "1", "X-Request-Id": id })
          .end();
        return;
      }
      const run = {
        id,
        worker: this.id,
        atMs: now(),
        request,
        body: Buffer.concat(chunks),
        response,
      };
      this.runs.push(run);
      this.record?.add(
        `worker ${this.id} runs ${id} ${request.method} ${request.url}`,
      );
      this.running += 1;
      response.once("close", () => {
        this.running -= 1;
        run.endedMs = now();
        run.isWhole = response.writableFinished;
        this.record?.add(
          `worker ${this.id} ends ${id} ${run.isWhole ? "whole" : "cut"}`,
        );
      });
      this.run({
        ...run,
        worker: this,
        stamp: {
          "X-Request-Id": id,
          "X-Response-Signature": `sig.${this.id}.${id}`,
          "X-Server-Load": `${this.running},0,${this.capacity}`,
        },
      });
    });
  }
}

/** A client's channel: one request at a time, answers as they arrive. */
export class Channel {
  constructor(address, record) {
    const [host, port] = address.split(":");
    this.record = record;
    this.address = address;
    this.isOpen = true;
    this.buffer = Buffer.alloc(0);
    this.socket = net.connect({ host, port: Number(port), noDelay: true });
    this.socket.on("data", (chunk) => {
      this.buffer = Buffer.concat([this.buffer, chunk]);
      this.#parse();
    });
    this.socket.on("error", (error) => this.#close(error.code));
    this.socket.on("end", () => this.#close("end"));
    this.socket.on("close", () => this.#close("close"));
  }
  /** Resolves with { status, headers, body, isWhole, closed }. */
  send({ method = "GET", path, host, id, headers = {}, body }) {
    const lines = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${host}`,
      `X-Request-Id: ${id}`,
    ];
    for (const [name, value] of Object.entries(headers)) {
      lines.push(`${name}: ${value}`);
    }
    if (body !== undefined) lines.push(`Content-Length: ${body.length}`);
    this.record?.add(`client sends ${id} ${method} ${path} to ${this.address}`);
    return new Promise((resolve) => {
      this.pending = {
        id,
        method,
        resolve,
        head: undefined,
        body: [],
        sentMs: now(),
      };
      if (!this.isOpen) return this.#settle({ closed: "before" });
      this.socket.write(lines.join("\r\n") + "\r\n\r\n");
      if (body !== undefined) this.socket.write(body);
    });
  }
  close() {
    this.socket.destroy();
  }
  #close(cause) {
    if (!this.isOpen) return;
    this.isOpen = false;
    const { pending } = this;
    if (pending === undefined) return;
    const isWhole = pending.head?.framing === "close" && cause === "end";
    this.#settle({ closed: cause, isWhole });
  }
  #settle(more) {
    const { pending } = this;
    if (pending === undefined) return;
    this.pending = undefined;
    const answer = {
      status: pending.head?.status,
      headers: pending.head?.headers ?? {},
      body: Buffer.concat(pending.body),
      isWhole: false,
      tookMs: now() - pending.sentMs,
      ...more,
    };
    this.record?.add(
      `client gets ${pending.id} ${answer.status ?? "no answer"} ${
        answer.isWhole ? "whole" : "not whole"
      } ${answer.body.length} bytes${
        answer.closed === undefined ? "" : ` (${answer.closed})`
      }`,
    );
    pending.resolve(answer);
  }
  #parse() {
    const { pending } = this;
    if (pending === undefined) return;
    if (pending.head === undefined) {
      const end = this.buffer.indexOf("\r\n\r\n");
      if (end < 0) return;
      const [first, ...rest] = this.buffer.subarray(0, end).toString("latin1")
        .split("\r\n");
      this.buffer = this.buffer.subarray(end + 4);
      const headers = {};
      for (const line of rest) {
        const at = line.indexOf(":");
        headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
      }
      const framing = headers["transfer-encoding"] !== undefined
        ? "chunks"
        : headers["content-length"] !== undefined
        ? "length"
        : "close";
      pending.head = {
        status: Number(first.split(" ")[1]),
        headers,
        framing,
        left: Number(headers["content-length"] ?? 0),
      };
    }
    const { head } = pending;
    if (head.framing === "close") {
      pending.body.push(this.buffer);
      this.buffer = Buffer.alloc(0);
      return;
    }
    if (head.framing === "length") {
      const part = this.buffer.subarray(0, head.left);
      if (part.length > 0) pending.body.push(part);
      head.left -= part.length;
      this.buffer = this.buffer.subarray(part.length);
      if (head.left === 0) this.#settle({ isWhole: true });
      return;
    }
    for (;;) {
      const at = this.buffer.indexOf("\r\n");
      if (at < 0) return;
      const size = parseInt(this.buffer.subarray(0, at).toString(), 16);
      if (this.buffer.length < at + 2 + size + 2) return;
      const part = this.buffer.subarray(at + 2, at + 2 + size);
      this.buffer = this.buffer.subarray(at + 2 + size + 2);
      if (size === 0) return this.#settle({ isWhole: true });
      pending.body.push(part);
      this.pending?.onPart?.(part);
    }
  }
}

/** Starts a store, VMs and workers; `run` gets them and returns the exit code. */
export async function deploy(
  {
    folder,
    vmCount = 3,
    manifest,
    workers,
    settings,
    memoryMb,
    prepare,
    isReadyAwaited = true,
    zoneList = ["dub-a", "cork-a", "gal-a"],
  },
  run,
) {
  const dir = mkdtempSync(join(tmpdir(), "review-"));
  const record = new Recorder(folder);
  const store = new Store();
  const vms = [];
  let code = 2;
  let beats;
  const endAll = () => {
    for (const vm of vms) vm.signal("SIGKILL");
  };
  process.once("exit", endAll);
  process.once("SIGTERM", () => process.exit(2));
  try {
    await store.start();
    const network = await freeNetwork();
    const ports = PORTS;
    const zones = Object.fromEntries(
      zoneList.map((zone) => [zone, zone.split("-")[0]]),
    );
    const seeds = Array.from(
      { length: Math.min(3, vmCount) },
      (_, index) => `${network}.${index + 1}:${ports.admin}`,
    );
    store.put("keyed.op", "config", manifest);
    for (const worker of workers) {
      worker.record = record;
      await worker.start();
      store.put("keyed.servers", worker.id, worker.entry());
    }
    prepare?.({ store, record });
    beats = setInterval(() => {
      for (const worker of workers) {
        if (!worker.isGone) {
          store.put(
            "keyed.servers",
            worker.id,
            worker.entry(worker.isDraining ? "draining" : "ready"),
          );
        }
      }
    }, 1200);
    for (let index = 0; index < vmCount; index++) {
      const zone = zoneList[index % zoneList.length];
      const vm = new Vm({
        network,
        index: index + 1,
        name: `edge-${zone}-${index + 1}`,
        zone,
        zones,
        ports,
        storeAddress: store.address,
        seeds,
        folder: dir,
        settings,
        memoryMb,
      });
      vms.push(vm);
      vm.start();
    }
    const untilMs = now() + 15_000;
    while (isReadyAwaited) {
      const ready = await Promise.all(vms.map((vm) => vm.isReady()));
      if (ready.every((isReady) => isReady)) break;
      if (now() > untilMs) throw new Error("not ready");
      await sleep(200);
    }
    code = await run({ store, vms, workers, record, dir });
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
    console.error(error);
  } finally {
    clearInterval(beats);
    for (const vm of vms) await vm.end("SIGKILL");
    for (const worker of workers) worker.close();
    store.close();
    record.flush();
    if (process.env.KEEP === undefined) {
      rmSync(dir, { recursive: true, force: true });
    } else console.log(dir);
  }
  return code;
}
