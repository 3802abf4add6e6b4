/**
 * The node of one process in the peer network: runs the membership protocol
 * over TCP, exchanges the control stream's newest records with peers, and sends
 * and answers queries. All effects are passed in.
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

/** A node of the peer network. */
export interface PeerNode {
  /** Listens and begins to probe; returns the listening address. */
  start(): Promise<Result<string, WireError>>;
  /** The current membership in this node's view. */
  membership(): MembershipState;
  /** Applies a newly read VM list. */
  applyVmList(vms: readonly Vm[]): void;
  setLoad(loadShare: number): void;
  /** Changes the advertised address for callers. */
  setAddress(address: string): void;
  /** Announces to peers that this VM is leaving or has left. */
  announce(status: "leaving" | "left"): void;
  /**
   * Sends a query to a member, opening a connection if there is none; the time
   * limit includes that.
   */
  query(
    vm: string,
    query: Query,
    options: { readonly timeoutMs: number },
  ): Promise<Result<Answer, WireError>>;
  /** Calls `listener` after each change; returns a function to unsubscribe. */
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
  readonly #queries: PendingQueries;
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
    this.#queries = new PendingQueries(options);
    this.#responder = new Responder({
      records: options.records,
      bills: options.bills,
      members: () => this.#currentMembers(),
      exchange: options.exchange ?? (() => null),
    });
    this.#exchange = new RecordExchange({
      records: options.records,
      logger: options.logger,
      query: (connection, query, timeoutMs) =>
        this.#queries.query(connection, query, timeoutMs),
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
    this.#apply({ kind: "moved", address, peerAddress });
    this.#loop = this.#run();
    return ok(listeningAt);
  }

  membership(): MembershipState {
    return this.#state;
  }

  applyVmList(vms: readonly Vm[]): void {
    this.#apply({ kind: "listed", vms });
  }

  setLoad(loadShare: number): void {
    this.#apply({ kind: "load", loadShare: roundLoad(loadShare) });
  }

  setAddress(address: string): void {
    const { peerAddress } = this.#state.self;
    this.#apply({ kind: "moved", address, peerAddress });
  }

  announce(status: "leaving" | "left"): void {
    this.#apply({ kind: "status", status });
  }

  async query(
    vm: string,
    query: Query,
    options: { readonly timeoutMs: number },
  ): Promise<Result<Answer, WireError>> {
    const member = this.#state.members.get(vm);
    if (member === undefined) {
      return err(new WireError("unknown_peer", `${vm} is not a member`));
    }
    const { clock } = this.#options;
    const endMs = clock() + options.timeoutMs;
    const connection = await this.#connectWithin(
      member.update,
      options.timeoutMs,
    );
    if (connection.isErr()) return err(connection.error);
    const leftMs = Math.max(0, endMs - clock());
    return this.#queries.query(connection.value, query, leftMs);
  }

  /** An attempt to connect goes on after the time limit, for later queries. */
  async #connectWithin(
    member: MemberUpdate,
    timeoutMs: number,
  ): Promise<Result<PeerConnection, WireError>> {
    const timer = new AbortController();
    const expired = this.#options.sleep(timeoutMs, timer.signal).then(() =>
      err(new WireError("timeout", `not connected within ${timeoutMs} ms`))
    );
    const connection = await Promise.race([
      this.#transport.connectionTo(member),
      expired,
    ]);
    timer.abort();
    return connection;
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
      this.#apply({ kind: "tick" });
      this.#transport.sweep();
      this.#connectToSeeds();
      const waitMs = nextTickAtMs(this.#state) - clock();
      await sleep(Math.max(MIN_TICK_DELAY_MS, waitMs), signal);
    }
  }

  #connectToSeeds(): void {
    if (presentMembers(this.#state).length > 0) return;
    const { seeds, moreSeeds = (): readonly string[] => [] } = this.#options;
    for (const seed of new Set([...seeds, ...moreSeeds()])) {
      if (seed === this.#state.self.peerAddress) continue;
      void this.#transport.connectionTo({ vm: "", peerAddress: seed });
    }
  }

  #apply(event: MembershipEvent): void {
    const { clock, random } = this.#options;
    const step = applyMembership(this.#state, event, {
      nowMs: clock(),
      random,
    });
    const { returnedAtMs } = this.#state;
    this.#state = step.state;
    if (step.state.returnedAtMs !== returnedAtMs) {
      const memberCount = step.state.members.size;
      this.#options.logger.info("members need evidence", { memberCount });
    }
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
      this.#queries.settle(connection, message.id, message.answer);
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
    this.#apply({ kind: "message", message: message.message });
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
        if (member !== undefined) this.#apply({ kind: "met", from: member });
      },
      onMessage: (connection, message) => this.#receive(connection, message),
      onClose: (connection) => this.#queries.fail(connection),
    });
  }

  #currentMembers(): MemberUpdate[] {
    const others = presentMembers(this.#state).map(({ update }) => update);
    return [this.#state.self, ...others];
  }
}

function roundLoad(loadShare: number): number {
  const STEPS = 64;
  return Math.round(Math.max(0, loadShare) * STEPS) / STEPS;
}
