/**
 * The connection of a controller to the entry of its own VM: it follows the
 * control stream and the members through the entry, by the protocol of the
 * peers, without being a member. It opens a new connection when one fails.
 */
import { connect, type Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { type MemberUpdate } from "../decision/mod.ts";
import { type Clock, type Logger, type Sleep } from "../model/mod.ts";
import { parseAddress } from "./address.ts";
import { AskTable } from "./ask_table.ts";
import { PeerConnection } from "./connection.ts";
import { type WireError } from "./error.ts";
import { greet, type Greeted } from "./greeting.ts";
import { type Answer, type Ask, type PeerMessage } from "./message.ts";
import { RecordExchange, type RecordSource } from "./record_exchange.ts";

const HANDSHAKE_TIMEOUT_MS = 2000;
const ANSWER_TIMEOUT_MS = 2000;

/** What a subscriber is and needs. */
export interface SubscriberOptions {
  readonly vm: string;
  readonly deployment: string;
  readonly sharedKey: string;
  /** Where the VM's entry listens for peers. */
  readonly peerAddress: string;
  /** One round of questions in each period. */
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
  readonly #asks: AskTable;
  readonly #exchange: RecordExchange;
  readonly #closing = new AbortController();
  #connection: PeerConnection | undefined;
  #loop: Promise<void> = Promise.resolve();

  constructor(options: SubscriberOptions) {
    this.#options = options;
    this.#asks = new AskTable(options);
    this.#exchange = new RecordExchange({
      records: options.records,
      logger: options.logger,
      ask: (connection, ask, timeoutMs) =>
        this.#asks.ask(connection, ask, timeoutMs),
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
      const round = await this.#askRound();
      if (round.isErr() && !signal.aborted) {
        logger.warn("entry not reached", { reason: round.error.message });
      }
      await sleep(periodMs, signal);
    }
  }

  async #askRound(): Promise<Result<void, WireError>> {
    const connection = await this.#connect();
    if (connection.isErr()) return err(connection.error);
    const members = await this.#ask(connection.value, { kind: "members" });
    return members.map((answer) => {
      if (answer.kind !== "members") return;
      this.#options.onMembers(answer.members);
      this.#exchange.heard(connection.value, answer);
    });
  }

  #ask(
    connection: PeerConnection,
    ask: Ask,
  ): Promise<Result<Answer, WireError>> {
    return this.#asks.ask(connection, ask, ANSWER_TIMEOUT_MS);
  }

  async #connect(): Promise<Result<PeerConnection, WireError>> {
    if (this.#connection?.isOpen) return ok(this.#connection);
    const { peerAddress, sleep } = this.#options;
    const target = parseAddress(peerAddress);
    if (target.isErr()) return err(target.error);
    const socket = connect({ ...target.value, noDelay: true });
    socket.on("error", () => {});
    const greeted = await greet(socket, {
      identity: { ...this.#options, role: "subscriber", member: undefined },
      timeoutMs: HANDSHAKE_TIMEOUT_MS,
      sleep,
    });
    return greeted.map((value) => this.#open(socket, value));
  }

  #open(socket: Socket, greeted: Greeted): PeerConnection {
    const connection = new PeerConnection({
      socket,
      ...greeted,
      clock: this.#options.clock,
      events: {
        onMessage: (from, message) => this.#receive(from, message),
        onClose: (closed) => this.#asks.fail(closed),
      },
    });
    this.#connection = connection;
    connection.start();
    if (this.#closing.signal.aborted) connection.discard("closing");
    return connection;
  }

  #receive(connection: PeerConnection, message: PeerMessage): void {
    if (message.kind === "answer") {
      this.#asks.settle(connection, message.id, message.answer);
      return;
    }
    connection.discard(`an entry sent a subscriber a ${message.kind}`);
  }
}
