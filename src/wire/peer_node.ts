/**
 * The node of one process among its peers: runs the membership protocol over
 * TCP, passes on the control stream's newest records, and answers and asks
 * bounded questions. All effects are passed in.
 */
import { err, ok, type Result } from "neverthrow";
import {
  applyMembership,
  createMembership,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipState,
  type MemberUpdate,
  nextTickAtMs,
  presentMembers,
} from "../decision/mod.ts";
import { type Vm } from "../model/mod.ts";
import { PendingQueries } from "./pending_queries.ts";
import { type PeerNodeOptions } from "./peer_node_options.ts";
import { Responder } from "./responder.ts";
import { boundedFreshnessOf, RecordExchange } from "./record_exchange.ts";
import { type PeerConnection } from "./connection.ts";
import { WireError } from "./error.ts";
import { type Answer, type PeerMessage, type Query } from "./message.ts";
import {
  DEFAULT_BOUNDS,
  Transport,
  type TransportCounts,
} from "./transport.ts";

const MIN_TICK_DELAY_MS = 5;

/** A node among its peers. */
export interface PeerNode {
  /** Listens and begins to probe; answers where it listens. */
  start(): Promise<Result<string, WireError>>;
  /** The membership as this node sees it. */
  membership(): MembershipState;
  /** Takes in a VM list as just read. */
  applyVmList(vms: readonly Vm[]): void;
  setLoad(loadShare: number): void;
  /** Tells where callers reach this VM from now on. */
  setAddress(address: string): void;
  /** Tells the peers that this VM is no longer to be handed out, or is gone. */
  announce(status: "leaving" | "left"): void;
  /** Asks a member, over a connection that is opened when there is none. */
  query(
    vm: string,
    ask: Query,
    options: { readonly timeoutMs: number },
  ): Promise<Result<Answer, WireError>>;
  /** Calls `listener` after each change; returns a function that stops it. */
  onChange(listener: () => void): () => void;
  counts(): TransportCounts;
  close(): Promise<void>;
}

/** Creates the node of one process; it does nothing before `start`. */
export function createPeerNode(options: PeerNodeOptions): PeerNode {
  return new RunningNode(options);
}

class RunningNode implements PeerNode {
  readonly #options: PeerNodeOptions;
  readonly #transport: Transport;
  readonly #asks: PendingQueries;
  readonly #responder: Responder;
  readonly #exchange: RecordExchange;
  readonly #listeners = new Set<() => void>();
  readonly #closing = new AbortController();
  #state: MembershipState;
  #loop: Promise<void> = Promise.resolve();

  constructor(options: PeerNodeOptions) {
    this.#options = options;
    const { vm, place, address, clock } = options;
    this.#state = createMembership(
      { vm, place, address, peerAddress: options.advertisedPeerAddress ?? "" },
      { ...options.membership, nowMs: clock() },
    );
    this.#asks = new PendingQueries(options);
    this.#responder = new Responder({
      records: options.records,
      bills: options.bills,
      members: () => this.#membersNow(),
      exchange: options.exchange ?? (() => null),
    });
    this.#exchange = new RecordExchange({
      records: options.records,
      logger: options.logger,
      query: (connection, ask, timeoutMs) =>
        this.#asks.query(connection, ask, timeoutMs),
    });
    this.#transport = this.#createTransport();
  }

  async start(): Promise<Result<string, WireError>> {
    const { listenHost, listenPort } = this.#options;
    const port = await this.#transport.listen(listenHost, listenPort);
    if (port.isErr()) return err(port.error);
    const listeningAt = `${listenHost}:${port.value}`;
    const { advertisedPeerAddress } = this.#options;
    const peerAddress = advertisedPeerAddress ?? listeningAt;
    const { address } = this.#state.self;
    this.#step({ kind: "moved", address, peerAddress });
    this.#loop = this.#run();
    return ok(listeningAt);
  }

  membership(): MembershipState {
    return this.#state;
  }

  applyVmList(vms: readonly Vm[]): void {
    this.#step({ kind: "listed", vms });
  }

  setLoad(loadShare: number): void {
    this.#step({ kind: "load", loadShare: roundLoad(loadShare) });
  }

  setAddress(address: string): void {
    const { peerAddress } = this.#state.self;
    this.#step({ kind: "moved", address, peerAddress });
  }

  announce(status: "leaving" | "left"): void {
    this.#step({ kind: "status", status });
  }

  async query(
    vm: string,
    ask: Query,
    options: { readonly timeoutMs: number },
  ): Promise<Result<Answer, WireError>> {
    const member = this.#state.members.get(vm);
    if (member === undefined) {
      return err(new WireError("unknown_peer", `${vm} is no known member`));
    }
    const connection = await this.#transport.connectionTo(member.update);
    if (connection.isErr()) return err(connection.error);
    return this.#asks.query(connection.value, ask, options.timeoutMs);
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  counts(): TransportCounts {
    return this.#transport.counts();
  }

  async close(): Promise<void> {
    this.#closing.abort();
    this.#transport.close();
    await this.#loop;
  }

  async #run(): Promise<void> {
    const { clock, sleep } = this.#options;
    const { signal } = this.#closing;
    while (!signal.aborted) {
      this.#step({ kind: "tick" });
      this.#transport.sweep();
      this.#trySeeds();
      const waitMs = nextTickAtMs(this.#state) - clock();
      await sleep(Math.max(MIN_TICK_DELAY_MS, waitMs), signal);
    }
  }

  #trySeeds(): void {
    if (presentMembers(this.#state).length > 0) return;
    for (const seed of this.#options.seeds) {
      if (seed === this.#state.self.peerAddress) continue;
      void this.#transport.connectionTo({ vm: "", peerAddress: seed });
    }
  }

  #step(event: MembershipEvent): void {
    const { clock, random } = this.#options;
    const step = applyMembership(this.#state, event, {
      nowMs: clock(),
      random,
    });
    this.#state = step.state;
    let hasChanged = event.kind === "listed";
    for (const effect of step.effects) {
      if (effect.kind === "changed") hasChanged = true;
      this.#perform(effect);
    }
    if (!hasChanged) return;
    for (const listener of this.#listeners) listener();
  }

  #perform(effect: MembershipEffect): void {
    if (effect.kind === "changed") {
      const { vm, status, incarnation } = effect.update;
      const { before } = effect;
      const fields = { member: vm, status, before, incarnation };
      this.#options.logger.info("member changed", fields);
      this.#options.metrics.count("members.changed", 1, { status });
      return;
    }
    const { to, message, isFresh } = effect;
    if (isFresh) this.#transport.discard(to.vm, "no ack");
    const freshness = boundedFreshnessOf(this.#options.records);
    void this.#send(to, { kind: "membership", ...freshness, message });
  }

  async #send(to: MemberUpdate, message: PeerMessage): Promise<void> {
    const connection = await this.#transport.connectionTo(to);
    if (connection.isErr() || this.#closing.signal.aborted) return;
    connection.value.send(message);
  }

  #receive(connection: PeerConnection, message: PeerMessage): void {
    if (message.kind === "answer") {
      this.#asks.settle(connection, message.id, message.answer);
      return;
    }
    if (message.kind === "ask") {
      const answer = this.#responder.answer(connection.peer, message.ask);
      connection.send({ kind: "answer", id: message.id, answer });
      return;
    }
    if (connection.peer.role !== "member") {
      return connection.discard("a subscriber sent a membership message");
    }
    this.#step({ kind: "message", message: message.message });
    this.#exchange.receiveFreshness(connection, message);
  }

  #createTransport(): Transport {
    const { clock, sleep, logger, metrics, bounds } = this.#options;
    return new Transport({
      identity: () => ({
        deployment: this.#options.deployment,
        sharedKey: this.#options.sharedKey,
        vm: this.#options.vm,
        role: "member",
        member: this.#state.self,
      }),
      bounds: { ...DEFAULT_BOUNDS, ...bounds },
      clock,
      sleep,
      logger,
      metrics,
      onOpen: (connection) => {
        const { member } = connection.peer;
        if (member !== undefined) this.#step({ kind: "met", from: member });
      },
      onMessage: (connection, message) => this.#receive(connection, message),
      onClose: (connection) => this.#asks.fail(connection),
    });
  }

  #membersNow(): MemberUpdate[] {
    const others = presentMembers(this.#state).map(({ update }) => update);
    return [this.#state.self, ...others];
  }
}

function roundLoad(loadShare: number): number {
  const PARTS = 64;
  return Math.round(Math.max(0, loadShare) * PARTS) / PARTS;
}
