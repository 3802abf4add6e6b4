// Plain JavaScript has no return types.
// deno-lint-ignore-file explicit-function-return-type
/**
 * A stand-in of a worker. Each request is counted as run when `onRun` begins,
 * except where it names another instance (421). `onRun` gets the request, its
 * whole body and the response; `head` sends a head with the request's id and the
 * worker's signature. `onBytes` gets what arrives on the channels as it is.
 */
import { createServer } from "node:http";
import { once } from "node:events";
import { HOST } from "./host.mjs";

export class WorkerStandin {
  /** Requests that began to run: id, method, path, body and tenant. */
  runs = [];
  sockets = new Set();
  constructor({ id, service, zone, capacity, onRun, onBytes }) {
    Object.assign(this, { id, service, zone, capacity });
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("error", () => {});
      response.on("error", () => {});
      response.sendDate = false;
      request.on("end", () => {
        const requestId = String(request.headers["x-request-id"] ?? "");
        if (request.url === "/healthz") {
          return response.writeHead(200, { "x-instance-id": id }).end();
        }
        if (request.headers["x-expect-instance"] !== id) {
          response.writeHead(421, {
            "x-request-id": requestId,
            "x-not-executed": "1",
          });
          return response.end();
        }
        const body = Buffer.concat(chunks);
        this.runs.push({
          id: requestId,
          method: request.method,
          path: request.url,
          body: body.toString("latin1"),
          tenant: request.headers["x-tenant"],
          lastEventId: request.headers["last-event-id"],
        });
        const head = (status, headers = {}) =>
          response.writeHead(status, {
            "x-request-id": requestId,
            "x-response-signature": `${id}.${requestId}`,
            ...headers,
          });
        onRun({ request, requestId, body, response, head, worker: this });
      });
    });
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
      if (onBytes !== undefined) socket.on("data", onBytes);
    });
    // What follows a request that says that it is the last of its channel is
    // no further request; the one before it is still answered.
    this.server.on("clientError", (error, socket) => {
      if (error.rawPacket === undefined) socket.destroy();
    });
  }
  async start() {
    this.server.listen(this.port ?? 0, HOST);
    await once(this.server, "listening");
    this.port = this.server.address().port;
    this.address = `${HOST}:${this.port}`;
    return this;
  }
  /** Crashes: all channels are reset, and nothing listens until `start`. */
  crash() {
    this.isSilent = true;
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }
  /** Starts again under the same id and address, as another boot. */
  async restart() {
    this.born = Date.now();
    await this.start();
    this.isSilent = false;
  }
  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
