/**
 * Connections to peers by TCP: one listener, one dial at a time to each peer,
 * and a bounded pool. The newest connection to a VM is the one used. A
 * connection that was silent too long is discarded, whether the peer is idle or
 * something between the two ends has lost track of it.
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  type Logger,
  type Metrics,
  type Sleep,
} from "../model/mod.ts";
import { parseAddress } from "./address.ts";
import { PeerConnection } from "./connection.ts";
import { WireError } from "./error.ts";
import {
  acceptHandshake,
  initiateHandshake,
  type VerifiedPeer,
} from "./socket_handshake.ts";
import { type Identity } from "./handshake.ts";
import { type PeerMessage } from "./message.ts";

/** Bounds of the pool and of each connection. */
export interface TransportBounds {
  readonly maxConnections: number;
  readonly maxHandshakes: number;
  readonly maxDials: number;
  readonly handshakeTimeoutMs: number;
  /** A connection on which nothing was heard for so long is discarded. */
  readonly inactivityTimeoutMs: number;
}

/** The bounds of a deployment that sets none. */
export const DEFAULT_BOUNDS: TransportBounds = {
  maxConnections: 64,
  maxHandshakes: 64,
  maxDials: 32,
  handshakeTimeoutMs: 2000,
  inactivityTimeoutMs: 15_000,
};

/** What a transport needs. */
export interface TransportOptions {
  readonly identity: () => Identity;
  readonly bounds: TransportBounds;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly onOpen: (connection: PeerConnection) => void;
  readonly onMessage: (
    connection: PeerConnection,
    message: PeerMessage,
  ) => void;
  readonly onClose: (connection: PeerConnection) => void;
}

/** Whom to send to. */
export interface PeerAddress {
  /** "" for a peer whose name is not yet known. */
  readonly vm: string;
  readonly peerAddress: string;
}

/** Bytes through this transport so far. */
export interface TransportCounts {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** The connections of one process. */
export class Transport {
  readonly #options: TransportOptions;
  readonly #connections = new Map<PeerConnection, Socket>();
  readonly #byVm = new Map<string, PeerConnection>();
  readonly #dials = new Map<
    string,
    Promise<Result<PeerConnection, WireError>>
  >();
  readonly #greeting = new Set<Socket>();
  #server: Server | undefined;
  #closedSentBytes = 0;
  #closedReceivedBytes = 0;
  #isClosed = false;

  constructor(options: TransportOptions) {
    this.#options = options;
  }

  /** Listens; answers the port, which the system chooses for port 0. */
  listen(host: string, port: number): Promise<Result<number, WireError>> {
    const server = createServer((socket) => void this.#accept(socket));
    this.#server = server;
    return new Promise((resolve) => {
      server.once("error", (error) => {
        resolve(err(new WireError("unreachable", error.message)));
      });
      server.listen(port, host, () => {
        resolve(ok((server.address() as AddressInfo).port));
      });
    });
  }

  /** Bytes sent and received on all connections, open and closed. */
  counts(): TransportCounts {
    let sentBytes = this.#closedSentBytes;
    let receivedBytes = this.#closedReceivedBytes;
    for (const socket of this.#connections.values()) {
      sentBytes += socket.bytesWritten;
      receivedBytes += socket.bytesRead;
    }
    return { sentBytes, receivedBytes };
  }

  /** The number of open connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** The connection to a VM, opened when there is none. */
  connectionTo(
    peer: PeerAddress,
  ): Promise<Result<PeerConnection, WireError>> {
    const open = this.#byVm.get(peer.vm);
    if (open?.isOpen) return Promise.resolve(ok(open));
    const dialing = this.#dials.get(peer.peerAddress);
    if (dialing !== undefined) return dialing;
    if (this.#dials.size >= this.#options.bounds.maxDials) {
      return Promise.resolve(
        err(new WireError("queue_full", "too many dials at once")),
      );
    }
    const dial = this.#dial(peer).finally(() =>
      this.#dials.delete(peer.peerAddress)
    );
    this.#dials.set(peer.peerAddress, dial);
    return dial;
  }

  /** Discards the connections to a VM, so that the next send opens one. */
  discard(vm: string, reason: string): void {
    for (const connection of [...this.#connections.keys()]) {
      const { peer } = connection;
      if (peer.vm !== vm || peer.role !== "member") continue;
      connection.discard(reason);
    }
  }

  /** Discards the connections that were silent too long. */
  sweep(): void {
    const beforeMs = this.#options.clock() -
      this.#options.bounds.inactivityTimeoutMs;
    for (const connection of [...this.#connections.keys()]) {
      if (connection.lastReceivedAtMs < beforeMs) connection.discard("silent");
    }
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.#isClosed = true;
    this.#server?.close();
    for (const socket of this.#greeting) socket.destroy();
    for (const connection of [...this.#connections.keys()]) connection.end();
    for (const connection of [...this.#connections.keys()]) {
      connection.discard("this process closes");
    }
  }

  async #dial(peer: PeerAddress): Promise<Result<PeerConnection, WireError>> {
    const target = parseAddress(peer.peerAddress);
    if (target.isErr()) return err(target.error);
    const socket = connect({ ...target.value, noDelay: true });
    const greeted = await this.#greetOn(socket, initiateHandshake);
    return greeted.map((value) => this.#open(socket, value));
  }

  async #accept(socket: Socket): Promise<void> {
    if (this.#greeting.size >= this.#options.bounds.maxHandshakes) {
      socket.destroy();
      return;
    }
    socket.setNoDelay(true);
    const greeted = await this.#greetOn(socket, acceptHandshake);
    greeted.match(
      (value) => void this.#open(socket, value),
      (error) => {
        this.#options.metrics.count("wire.refused", 1, { fault: error.fault });
        this.#options.logger.warn("peer refused", {
          fault: error.fault,
          reason: error.message,
        });
      },
    );
  }

  async #greetOn(
    socket: Socket,
    greeting: typeof initiateHandshake,
  ): Promise<Result<VerifiedPeer, WireError>> {
    const { identity, sleep, bounds } = this.#options;
    socket.on("error", () => {});
    this.#greeting.add(socket);
    const greeted = await greeting(socket, {
      identity: identity(),
      timeoutMs: bounds.handshakeTimeoutMs,
      sleep,
    });
    this.#greeting.delete(socket);
    if (greeted.isErr()) this.#countClosed(socket);
    if (greeted.isOk() && this.#isClosed) socket.destroy();
    return greeted;
  }

  #open(socket: Socket, greeted: VerifiedPeer): PeerConnection {
    this.#makeRoom();
    const connection = new PeerConnection({
      socket,
      ...greeted,
      clock: this.#options.clock,
      events: {
        onMessage: this.#options.onMessage,
        onClose: (closed, reason) => this.#forget(closed, reason),
      },
    });
    this.#connections.set(connection, socket);
    if (greeted.peer.role === "member") {
      this.#byVm.set(greeted.peer.vm, connection);
    }
    this.#options.onOpen(connection);
    connection.start();
    return connection;
  }

  #makeRoom(): void {
    if (this.#connections.size < this.#options.bounds.maxConnections) return;
    let quietest: PeerConnection | undefined;
    for (const connection of this.#connections.keys()) {
      if (
        quietest === undefined ||
        connection.lastReceivedAtMs < quietest.lastReceivedAtMs
      ) {
        quietest = connection;
      }
    }
    quietest?.discard("the pool is full");
  }

  #forget(connection: PeerConnection, reason: string): void {
    const socket = this.#connections.get(connection);
    this.#connections.delete(connection);
    if (socket !== undefined) this.#countClosed(socket);
    const { vm } = connection.peer;
    if (this.#byVm.get(vm) === connection) this.#byVm.delete(vm);
    this.#options.metrics.count("wire.closed", 1, { reason });
    this.#options.onClose(connection);
  }

  #countClosed(socket: Socket): void {
    this.#closedSentBytes += socket.bytesWritten;
    this.#closedReceivedBytes += socket.bytesRead;
  }
}
