/**
 * A fault-injecting TCP proxy: delays and paces bytes, cuts, resets or silences
 * connections in either direction, and drops a reply after the request passed.
 * Faults can be set at any time; those of connections act on the open ones.
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

/** One way of a connection: towards the target, or back to the client. */
export type Direction = "up" | "down";

/** Where a proxy leads and how slow its link is. */
export interface ProxyOptions {
  /** `host:port` of the target. */
  readonly target: string;
  /** One-way delay. */
  readonly delayMs?: number;
  /** 0 for no bound. */
  readonly bytesPerSecond?: number;
}

/** Faults of the link, for open and for new connections. */
export interface ProxySwitches {
  delayMs: number;
  bytesPerSecond: number;
  /** New connections are closed at once. */
  isCut: boolean;
  /** Bytes of new and open connections vanish in these directions. */
  silent: readonly Direction[];
  /** How many further connections lose the reply to their next request. */
  dropReplyCount: number;
}

/** A proxy for one link. */
export class FaultProxy {
  readonly switches: ProxySwitches;
  /** Bytes carried in both directions since the start. */
  carriedBytes = 0;
  #target: string;
  readonly #server: Server;
  readonly #links = new Set<Link>();

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

  /** The number of open connections. */
  get openCount(): number {
    return this.#links.size;
  }

  /** Listens on a port chosen by the system and answers its address. */
  listen(host = "127.0.0.1"): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, host, () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`${host}:${port}`);
      });
    });
  }

  /** Leads new connections to another target, such as a restarted process. */
  retarget(target: string): void {
    this.#target = target;
  }

  /** Closes open connections and refuses new ones until `heal`. */
  cut(): void {
    this.switches.isCut = true;
    for (const link of this.#links) link.destroy();
  }

  /** Resets every open connection. */
  reset(): void {
    for (const link of this.#links) link.reset();
  }

  /** Open connections go silent for good in both directions; new ones work. */
  silenceOpen(): void {
    for (const link of this.#links) link.isSilent = true;
  }

  /** Ends all faults; connections that were silenced for good stay silent. */
  heal(): void {
    this.switches.isCut = false;
    this.switches.silent = [];
    this.switches.dropReplyCount = 0;
  }

  close(): Promise<void> {
    for (const link of this.#links) link.destroy();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #accept(client: Socket): void {
    if (this.switches.isCut) {
      client.destroy();
      return;
    }
    const link = new Link(client, {
      target: this.#target,
      switches: this.switches,
      onBytes: (count) => {
        this.carriedBytes += count;
      },
    });
    this.#links.add(link);
    link.onClose(() => this.#links.delete(link));
  }
}

interface LinkOptions {
  readonly target: string;
  readonly switches: ProxySwitches;
  readonly onBytes: (count: number) => void;
}

/** One proxied connection. */
class Link {
  isSilent = false;
  readonly #client: Socket;
  readonly #server: Socket;
  readonly #switches: ProxySwitches;
  readonly #onBytes: (count: number) => void;
  #isReplyDropped = false;

  constructor(client: Socket, options: LinkOptions) {
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
    this.#carry("up");
    this.#carry("down");
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

  #carry(direction: Direction): void {
    const from = direction === "up" ? this.#client : this.#server;
    const to = direction === "up" ? this.#server : this.#client;
    const pipe = new DelayedPipe(to, this.#switches);
    from.on("data", (chunk: Buffer) => {
      if (!this.#admits(direction)) return;
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

  #admits(direction: Direction): boolean {
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

interface Queued {
  readonly chunk: Buffer;
  readonly then: "continue" | "half_close" | "close";
  readonly dueMs: number;
}

/** Writes chunks in order, each after the link's delay and at its rate. */
class DelayedPipe {
  readonly #to: Socket;
  readonly #switches: ProxySwitches;
  readonly #queue: Queued[] = [];
  #queuedBytes = 0;
  #freeMs = 0;
  #timer: NodeJS.Timeout | undefined;
  #drained: (() => void) | undefined;

  constructor(to: Socket, switches: ProxySwitches) {
    this.#to = to;
    this.#switches = switches;
  }

  get queuedBytes(): number {
    return this.#queuedBytes;
  }

  push(chunk: Buffer, then: Queued["then"] = "continue"): void {
    const { delayMs, bytesPerSecond } = this.#switches;
    const nowMs = performance.now();
    const workMs = bytesPerSecond > 0
      ? chunk.length * 1000 / bytesPerSecond
      : 0;
    this.#freeMs = Math.max(this.#freeMs, nowMs) + workMs;
    this.#queuedBytes += chunk.length;
    this.#queue.push({ chunk, then, dueMs: this.#freeMs + delayMs });
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
    this.#drained = listener;
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
      this.#drained?.();
      this.#drained = undefined;
    }
  }

  #write({ chunk, then }: Queued): void {
    if (this.#to.destroyed) return;
    if (chunk.length > 0) this.#to.write(chunk);
    if (then === "half_close") this.#to.end();
    if (then === "close") this.#to.destroySoon();
  }
}
