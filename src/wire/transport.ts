/**
 * TCP connections to peers: one listener, one dial at a time to each address,
 * and a bounded pool. The newest connection to a VM is the one used. A
 * connection that received no data for too long is discarded: its peer may be
 * idle, or a device on the path may no longer forward its packets.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
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
import { listen } from "./listen.ts";
import { type PeerMessage } from "./message.ts";

/** Limits of the pool and of each connection. */
export interface TransportBounds {
  readonly maxConnections: number;
  readonly maxHandshakes: number;
  readonly maxDials: number;
  readonly handshakeTimeoutMs: number;
  /** A connection that received no data for this long is discarded. */
  readonly inactivityTimeoutMs: number;
}

/** Defaults of the limits. */
export const DEFAULT_BOUNDS: TransportBounds = {
  maxConnections: 64,
  maxHandshakes: 64,
  maxDials: 32,
  handshakeTimeoutMs: 2000,
  inactivityTimeoutMs: 15_000,
};

/** Options of a transport. */
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

/** The peer to connect to. */
export interface PeerAddress {
  /** "" for a seed, whose VM is learned in the handshake. */
  readonly vm: string;
  readonly peerAddress: string;
}

/** Bytes sent and received by a transport since its start. */
export interface TransportCounts {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** The peer connections of one process. */
export class Transport {
  readonly #options: TransportOptions;
  readonly #connections = new Map<PeerConnection, Socket>();
  readonly #byVm = new Map<string, PeerConnection>();
  readonly #dials = new Map<
    string,
    Promise<Result<PeerConnection, WireError>>
  >();
  readonly #handshakingSockets = new Set<Socket>();
  #server: Server | undefined;
  #closedSentBytes = 0;
  #closedReceivedBytes = 0;
  #isClosed = false;

  constructor(options: TransportOptions) {
    this.#options = options;
  }

  /** Listens; returns the port, which the system chooses for port 0. */
  async listen(
    host: string,
    port: number,
  ): Promise<Result<number, WireError>> {
    const { logger, metrics } = this.#options;
    this.#server = createServer((socket) => void this.#accept(socket));
    const onAcceptError = ({ message }: Error): void => {
      metrics.count("wire.accept_errors");
      logger.warn("connection not accepted", { from: "peer", reason: message });
    };
    try {
      return ok(await listen(this.#server, { host, port, onAcceptError }));
    } catch (error) {
      return err(new WireError("unreachable", (error as Error).message));
    }
  }

  /** Counts the bytes of all connections, open and closed. */
  counts(): TransportCounts {
    let sentBytes = this.#closedSentBytes;
    let receivedBytes = this.#closedReceivedBytes;
    for (const socket of this.#connections.values()) {
      sentBytes += socket.bytesWritten;
      receivedBytes += socket.bytesRead;
    }
    return { sentBytes, receivedBytes };
  }

  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Returns the connection to a VM; opens one if there is none. */
  connectionTo(
    peer: PeerAddress,
  ): Promise<Result<PeerConnection, WireError>> {
    const open = this.#byVm.get(peer.vm);
    if (open?.isOpen) return Promise.resolve(ok(open));
    const dialing = this.#dials.get(peer.peerAddress);
    if (dialing !== undefined) return dialing;
    if (this.#dials.size >= this.#options.bounds.maxDials) {
      return Promise.resolve(
        err(new WireError("queue_full", "too many dials in progress")),
      );
    }
    const dial = this.#dial(peer).finally(() =>
      this.#dials.delete(peer.peerAddress)
    );
    this.#dials.set(peer.peerAddress, dial);
    return dial;
  }

  /** Discards the connections to a VM, so that the next send reconnects. */
  discard(vm: string, reason: string): void {
    for (const connection of [...this.#connections.keys()]) {
      const { peer } = connection;
      if (peer.vm !== vm || peer.role !== "member") continue;
      connection.discard(reason);
    }
  }

  /** Discards the connections that exceed the inactivity timeout. */
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
    for (const socket of this.#handshakingSockets) socket.destroy();
    for (const connection of [...this.#connections.keys()]) connection.end();
    for (const connection of [...this.#connections.keys()]) {
      connection.discard("this process closes");
    }
  }

  async #dial(peer: PeerAddress): Promise<Result<PeerConnection, WireError>> {
    const target = parseAddress(peer.peerAddress);
    if (target.isErr()) return err(target.error);
    const socket = connect({ ...target.value, noDelay: true });
    const verified = await this.#performHandshake(socket, initiateHandshake);
    return verified.map((value) => this.#open(socket, value));
  }

  async #accept(socket: Socket): Promise<void> {
    if (this.#handshakingSockets.size >= this.#options.bounds.maxHandshakes) {
      socket.destroy();
      return;
    }
    socket.setNoDelay(true);
    const verified = await this.#performHandshake(socket, acceptHandshake);
    verified.match(
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

  async #performHandshake(
    socket: Socket,
    handshake: typeof initiateHandshake,
  ): Promise<Result<VerifiedPeer, WireError>> {
    const { identity, sleep, bounds } = this.#options;
    socket.on("error", () => {});
    this.#handshakingSockets.add(socket);
    const verified = await handshake(socket, {
      identity: identity(),
      timeoutMs: bounds.handshakeTimeoutMs,
      sleep,
    });
    this.#handshakingSockets.delete(socket);
    if (verified.isErr()) this.#countClosed(socket);
    if (verified.isOk() && this.#isClosed) socket.destroy();
    return verified;
  }

  #open(socket: Socket, verified: VerifiedPeer): PeerConnection {
    this.#evictIfFull();
    const connection = new PeerConnection({
      socket,
      ...verified,
      clock: this.#options.clock,
      events: {
        onMessage: this.#options.onMessage,
        onClose: (closed, reason) => this.#handleClose(closed, reason),
      },
    });
    this.#connections.set(connection, socket);
    if (verified.peer.role === "member") {
      this.#byVm.set(verified.peer.vm, connection);
    }
    this.#options.onOpen(connection);
    connection.start();
    return connection;
  }

  #evictIfFull(): void {
    if (this.#connections.size < this.#options.bounds.maxConnections) return;
    let leastRecent: PeerConnection | undefined;
    for (const connection of this.#connections.keys()) {
      if (
        leastRecent === undefined ||
        connection.lastReceivedAtMs < leastRecent.lastReceivedAtMs
      ) {
        leastRecent = connection;
      }
    }
    leastRecent?.discard("the pool is full");
  }

  #handleClose(connection: PeerConnection, reason: string): void {
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
