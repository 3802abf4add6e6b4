/**
 * The connection of a controller to the entry of its own VM. It receives the
 * control stream and the member list from the entry over the peer protocol,
 * without being a member, and reconnects when the connection fails.
 */
import { connect, type Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { type MemberUpdate } from "../decision/mod.ts";
import { type Clock, type Logger, type Sleep } from "../model/mod.ts";
import { parseAddress } from "./address.ts";
import { PendingQueries } from "./pending_queries.ts";
import { PeerConnection } from "./connection.ts";
import { type WireError } from "./error.ts";
import { initiateHandshake, type VerifiedPeer } from "./socket_handshake.ts";
import { type Answer, type PeerMessage, type Query } from "./message.ts";
import { RecordExchange, type RecordSource } from "./record_exchange.ts";

const HANDSHAKE_TIMEOUT_MS = 2000;
const ANSWER_TIMEOUT_MS = 2000;

/** Identity, address and effects of a subscriber. */
export interface SubscriberOptions {
  readonly vm: string;
  readonly deployment: string;
  readonly sharedKey: string;
  /** Address at which the VM's entry listens for peers. */
  readonly peerAddress: string;
  /** Delay between two polls of the entry. */
  readonly periodMs: number;
  readonly records: RecordSource;
  readonly onMembers: (members: readonly MemberUpdate[]) => void;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly logger: Logger;
}

/** A running subscriber. */
export interface Subscriber {
  start(): void;
  close(): Promise<void>;
}

/** Creates a subscriber; it does nothing before `start`. */
export function createSubscriber(options: SubscriberOptions): Subscriber {
  return new RunningSubscriber(options);
}

class RunningSubscriber implements Subscriber {
  readonly #options: SubscriberOptions;
  readonly #queries: PendingQueries;
  readonly #exchange: RecordExchange;
  readonly #closing = new AbortController();
  #connection: PeerConnection | undefined;
  #loop: Promise<void> = Promise.resolve();

  constructor(options: SubscriberOptions) {
    this.#options = options;
    this.#queries = new PendingQueries(options);
    this.#exchange = new RecordExchange({
      records: options.records,
      logger: options.logger,
      query: (connection, query, timeoutMs) =>
        this.#queries.query(connection, query, timeoutMs),
    });
  }

  start(): void {
    this.#loop = this.#run();
  }

  async close(): Promise<void> {
    this.#closing.abort();
    this.#connection?.discard("this process closes");
    await this.#loop;
  }

  async #run(): Promise<void> {
    const { sleep, periodMs, logger } = this.#options;
    const { signal } = this.#closing;
    while (!signal.aborted) {
      const polled = await this.#poll();
      if (polled.isErr() && !signal.aborted) {
        logger.warn("entry not reached", { reason: polled.error.message });
      }
      await sleep(periodMs, signal);
    }
  }

  async #poll(): Promise<Result<void, WireError>> {
    const connection = await this.#connect();
    if (connection.isErr()) return err(connection.error);
    const members = await this.#query(connection.value, { kind: "members" });
    return members.map((answer) => {
      if (answer.kind !== "members") return;
      this.#options.onMembers(answer.members);
      this.#exchange.receiveFreshness(connection.value, answer);
    });
  }

  #query(
    connection: PeerConnection,
    query: Query,
  ): Promise<Result<Answer, WireError>> {
    return this.#queries.query(connection, query, ANSWER_TIMEOUT_MS);
  }

  async #connect(): Promise<Result<PeerConnection, WireError>> {
    if (this.#connection?.isOpen) return ok(this.#connection);
    const { peerAddress, sleep } = this.#options;
    const target = parseAddress(peerAddress);
    if (target.isErr()) return err(target.error);
    const socket = connect({ ...target.value, noDelay: true });
    socket.on("error", () => {});
    const verified = await initiateHandshake(socket, {
      identity: { ...this.#options, role: "subscriber", member: undefined },
      timeoutMs: HANDSHAKE_TIMEOUT_MS,
      sleep,
    });
    return verified.map((value) => this.#open(socket, value));
  }

  #open(socket: Socket, verified: VerifiedPeer): PeerConnection {
    const connection = new PeerConnection({
      socket,
      ...verified,
      clock: this.#options.clock,
      events: {
        onMessage: (from, message) => this.#receive(from, message),
        onClose: (closed) => this.#queries.fail(closed),
      },
    });
    this.#connection = connection;
    connection.start();
    if (this.#closing.signal.aborted) connection.discard("closing");
    return connection;
  }

  #receive(connection: PeerConnection, message: PeerMessage): void {
    if (message.kind === "answer") {
      this.#queries.settle(connection, message.id, message.answer);
      return;
    }
    connection.discard(`an entry sent a subscriber a ${message.kind}`);
  }
}
