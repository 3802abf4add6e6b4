// Plain JavaScript has no return types.
// deno-lint-ignore-file explicit-function-return-type
// A stand-in of a worker: registers itself in the store, writes there every
// heartbeat, and runs requests. `run` answers a request that it accepts.
import { createServer } from "node:http";
import { HOST } from "./net.mjs";

const HEARTBEAT_MS = 1200;

export class Worker {
  id;
  service;
  zone;
  version;
  capacity;
  address = "";
  runningCount = 0;
  #store;
  #run;
  #sequence = 0;
  #born = Date.now();
  #timer;
  #sockets = new Set();
  #http = this.#createServer();
  state = "ready";

  constructor(
    { id, service, zone, version = "v1", capacity = 16, store, run },
  ) {
    Object.assign(this, { id, service, zone, version, capacity });
    this.#store = store;
    this.#run = run;
  }

  #createServer() {
    const http = createServer((request, response) =>
      this.#handle(request, response)
    );
    http.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => {});
    });
    return http;
  }

  async start() {
    await new Promise((resolve) => this.#http.listen(0, HOST, resolve));
    this.address = `${HOST}:${this.#http.address().port}`;
    this.#beat();
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
  }

  /** Stops at once; its entry is removed. */
  stop() {
    clearInterval(this.#timer);
    this.#store.put("keyed.servers", this.id, undefined);
    this.#http.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Ends as a process that is killed: the system closes its channels. */
  crash() {
    clearInterval(this.#timer);
    this.#http.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Starts as another process under the same id, at the same address. */
  async startAgain() {
    const port = Number(this.address.split(":")[1]);
    this.#http = this.#createServer();
    await new Promise((resolve) => this.#http.listen(port, HOST, resolve));
    this.#born = Date.now();
    this.#sequence = 0;
    this.#beat();
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
  }

  setState(state) {
    this.state = state;
    this.#beat();
  }

  #beat() {
    this.#sequence += 1;
    this.#store.put("keyed.servers", this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      capacity: this.capacity,
      state: this.state,
      coldRemainingMs: 0,
      sequence: this.#sequence,
      born: this.#born,
    });
  }

  #handle(request, response) {
    const chunks = [];
    response.on("error", () => {});
    request.on("error", () => {});
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const id = request.headers["x-request-id"];
      if (request.url === "/healthz") {
        response.setHeader("X-Instance-Id", this.id);
        return void response.writeHead(200).end();
      }
      if (id === undefined) {
        return void response.writeHead(400, { "X-Not-Executed": "1" }).end();
      }
      response.setHeader("X-Request-Id", id);
      const expected = request.headers["x-expect-instance"];
      if (expected !== undefined && expected !== this.id) {
        response.setHeader("X-Instance-Id", this.id);
        return void response.writeHead(421, { "X-Not-Executed": "1" }).end();
      }
      if (this.runningCount >= this.capacity) {
        return void response.writeHead(503, { "X-Not-Executed": "1" }).end();
      }
      this.runningCount += 1;
      response.once("close", () => this.runningCount -= 1);
      response.setHeader(
        "X-Server-Load",
        `${this.runningCount},0,${this.capacity}`,
      );
      const body = Buffer.concat(chunks);
      void this.#run({ request, response, body, id, worker: this });
    });
  }
}
