/**
 * A fault-injecting TCP proxy: delays and rate-limits bytes, closes, resets or
 * silences connections, and drops a reply after its request was forwarded.
 * Faults can be set at any time and also affect open connections.
 */
import { Buffer } from "node:buffer";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  Socket,
} from "node:net";
import { performance } from "node:perf_hooks";

const MAX_QUEUED_BYTES = 1_048_576;

/** A direction of a connection: `up` is towards the target. */
export type Direction = "up" | "down";

/** The target of a proxy and the speed of its link. */
export interface ProxyOptions {
  /** `host:port` of the target. */
  readonly target: string;
  /** One-way delay. */
  readonly delayMs?: number;
  /** 0 means unlimited. */
  readonly bytesPerSecond?: number;
}

/** Faults of the link, for open and for new connections. */
export interface ProxySwitches {
  delayMs: number;
  bytesPerSecond: number;
  /** New connections are closed at once. */
  isCut: boolean;
  /** Directions in which the bytes of all connections are discarded. */
  silent: readonly Direction[];
  /** How many further requests are forwarded without their reply. */
  dropReplyCount: number;
}

/** A proxy for one link. */
export class FaultProxy {
  readonly switches: ProxySwitches;
  /** Bytes forwarded in both directions since the start. */
  carriedBytes = 0;
  #target: string;
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();

  constructor(options: ProxyOptions) {
    this.#target = options.target;
    this.switches = {
      delayMs: options.delayMs ?? 0,
      bytesPerSecond: options.bytesPerSecond ?? 0,
      isCut: false,
      silent: [],
      dropReplyCount: 0,
    };
    this.#server = createServer((client) => this.#accept(client));
  }

  get openCount(): number {
    return this.#connections.size;
  }

  /** Listens on a port chosen by the system and returns the address. */
  listen(host = "127.0.0.1"): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, host, () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`${host}:${port}`);
      });
    });
  }

  /** Connects new clients to another target, such as a restarted process. */
  retarget(target: string): void {
    this.#target = target;
  }

  /** Closes open connections and refuses new ones until `heal`. */
  cut(): void {
    this.switches.isCut = true;
    for (const connection of this.#connections) connection.destroy();
  }

  /** Resets every open connection. */
  reset(): void {
    for (const connection of this.#connections) connection.reset();
  }

  /** Silences the open connections permanently; new connections work. */
  silenceOpen(): void {
    for (const connection of this.#connections) connection.isSilent = true;
  }

  /** Ends all faults except the silence of `silenceOpen`. */
  heal(): void {
    this.switches.isCut = false;
    this.switches.silent = [];
    this.switches.dropReplyCount = 0;
  }

  close(): Promise<void> {
    for (const connection of this.#connections) connection.destroy();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #accept(client: Socket): void {
    if (this.switches.isCut) {
      client.destroy();
      return;
    }
    const connection = new ProxiedConnection(client, {
      target: this.#target,
      switches: this.switches,
      onBytes: (count) => {
        this.carriedBytes += count;
      },
    });
    this.#connections.add(connection);
    connection.onClose(() => this.#connections.delete(connection));
  }
}

interface ConnectionOptions {
  readonly target: string;
  readonly switches: ProxySwitches;
  readonly onBytes: (count: number) => void;
}

class ProxiedConnection {
  isSilent = false;
  readonly #client: Socket;
  readonly #server: Socket;
  readonly #switches: ProxySwitches;
  readonly #onBytes: (count: number) => void;
  #isReplyDropped = false;

  constructor(client: Socket, options: ConnectionOptions) {
    this.#onBytes = options.onBytes;
    const colon = options.target.lastIndexOf(":");
    const host = options.target.slice(0, colon);
    this.#client = client;
    this.#switches = options.switches;
    this.#server = connect(Number(options.target.slice(colon + 1)), host);
    for (const socket of [this.#client, this.#server]) {
      socket.setNoDelay(true);
      socket.on("error", () => this.destroy());
    }
    this.#forward("up");
    this.#forward("down");
  }

  onClose(listener: () => void): void {
    this.#client.once("close", listener);
  }

  destroy(): void {
    this.#client.destroy();
    this.#server.destroy();
  }

  reset(): void {
    this.#client.resetAndDestroy();
    this.#server.resetAndDestroy();
  }

  #forward(direction: Direction): void {
    const from = direction === "up" ? this.#client : this.#server;
    const to = direction === "up" ? this.#server : this.#client;
    const pipe = new DelayedPipe(to, this.#switches);
    from.on("data", (chunk: Buffer) => {
      if (!this.#shouldForward(direction)) return;
      this.#onBytes(chunk.length);
      pipe.push(chunk);
      if (pipe.queuedBytes < MAX_QUEUED_BYTES) return;
      from.pause();
      pipe.onDrain(() => from.resume());
    });
    from.on("end", () => {
      if (!this.isSilent) pipe.end();
    });
    from.on("close", () => {
      if (!this.isSilent) pipe.close();
    });
  }

  #shouldForward(direction: Direction): boolean {
    if (this.isSilent || this.#switches.silent.includes(direction)) {
      return false;
    }
    if (direction === "up" && this.#switches.dropReplyCount > 0) {
      this.#switches.dropReplyCount -= 1;
      this.#isReplyDropped = true;
    }
    if (direction === "up" || !this.#isReplyDropped) return true;
    this.destroy();
    return false;
  }
}

interface QueuedChunk {
  readonly chunk: Buffer;
  readonly then: "continue" | "half_close" | "close";
  readonly dueMs: number;
}

/** Writes chunks in order with the link's delay and rate. */
class DelayedPipe {
  readonly #to: Socket;
  readonly #switches: ProxySwitches;
  readonly #queue: QueuedChunk[] = [];
  #queuedBytes = 0;
  #idleAtMs = 0;
  #timer: NodeJS.Timeout | undefined;
  #drainListener: (() => void) | undefined;

  constructor(to: Socket, switches: ProxySwitches) {
    this.#to = to;
    this.#switches = switches;
  }

  get queuedBytes(): number {
    return this.#queuedBytes;
  }

  push(chunk: Buffer, then: QueuedChunk["then"] = "continue"): void {
    const { delayMs, bytesPerSecond } = this.#switches;
    const nowMs = performance.now();
    const transferMs = bytesPerSecond > 0
      ? chunk.length * 1000 / bytesPerSecond
      : 0;
    this.#idleAtMs = Math.max(this.#idleAtMs, nowMs) + transferMs;
    this.#queuedBytes += chunk.length;
    this.#queue.push({ chunk, then, dueMs: this.#idleAtMs + delayMs });
    if (this.#timer === undefined) this.#flush();
  }

  /** Half-closes the target once everything has been written. */
  end(): void {
    this.push(Buffer.alloc(0), "half_close");
  }

  /** Closes the target once everything has been written. */
  close(): void {
    this.push(Buffer.alloc(0), "close");
  }

  onDrain(listener: () => void): void {
    this.#drainListener = listener;
  }

  #flush(): void {
    this.#timer = undefined;
    const nowMs = performance.now();
    let next = this.#queue[0];
    while (next !== undefined && next.dueMs <= nowMs) {
      this.#queue.shift();
      this.#queuedBytes -= next.chunk.length;
      this.#write(next);
      next = this.#queue[0];
    }
    if (next !== undefined) {
      this.#timer = setTimeout(() => this.#flush(), next.dueMs - nowMs);
    }
    if (this.#queuedBytes < MAX_QUEUED_BYTES / 2) {
      this.#drainListener?.();
      this.#drainListener = undefined;
    }
  }

  #write({ chunk, then }: QueuedChunk): void {
    if (this.#to.destroyed) return;
    if (chunk.length > 0) this.#to.write(chunk);
    if (then === "half_close") this.#to.end();
    if (then === "close") this.#to.destroySoon();
  }
}
