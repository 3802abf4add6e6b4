/**
 * Synchronises store records, roll-out tallies and servers' loads between VMs.
 * Each VM sends an update to its data centre's store reader about every half
 * second and receives one in reply. The readers query each other in rotation and
 * forward what their own data centre's VMs sent. When no reader answers, the VM
 * queries a random member every other time. So the cost of a VM that is not a
 * reader does not grow with the fleet, traffic between regions stays small, and
 * a VM that the store refuses still receives its records.
 */
import { err, ok, type Result } from "neverthrow";
import {
  cachedByMembers,
  maxHopCountFor,
  presentMembers,
  type StoreReaderCandidate,
  storeReadersOf,
} from "../../decision/mod.ts";
import {
  type Clock,
  type Logger,
  type Random,
  type Sleep,
} from "../../model/mod.ts";
import { MAX_FRAME_BYTES, type PeerNode } from "../../wire/mod.ts";
import { type LeaseExchange } from "./lease_exchange.ts";
import { type AdmissionGate } from "../admission/admission_gate.ts";
import { type BackendFleet } from "../servers/backend_fleet.ts";
import { type ColdServers } from "../servers/cold_servers.ts";
import {
  type BusyNotice,
  encodedBytesOf,
  encodePeerUpdate,
  parseBusyNotice,
  parsePeerUpdate,
  type PeerUpdate,
  type TopicName,
  TOPICS,
} from "./peer_update.ts";
import { type PromptQuarantine } from "../prompts/prompt_quarantine.ts";
import { type RolloutRegistry } from "../rollout/rollout_registry.ts";
import { createRolloutReports } from "../rollout/rollout_report.ts";
import { type Evacuations } from "../servers/evacuations.ts";
import { type ServerBrittleness } from "../servers/server_brittleness.ts";
import { type ServerLimits } from "../servers/server_limits.ts";
import { type ServerStatements } from "../servers/server_statements.ts";
import { type SlowStarts } from "../servers/slow_starts.ts";
import { type TopicReplica } from "../store/topic_replica.ts";

export interface PeerExchangeOptions {
  readonly vm: string;
  readonly node: () => PeerNode;
  readonly replicas: Readonly<Record<TopicName, TopicReplica>>;
  readonly registry: RolloutRegistry;
  readonly fleet: BackendFleet;
  readonly admission: AdmissionGate;
  readonly limits: ServerLimits;
  readonly cold: ColdServers;
  readonly brittleness: ServerBrittleness;
  readonly statements: ServerStatements;
  readonly slowStarts: SlowStarts;
  readonly evacuations: Evacuations;
  readonly prompts: PromptQuarantine;
  readonly leases: LeaseExchange;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly random: Random;
  readonly logger: Logger;
}

const PERIOD_MS = 400;
/** Readers read the store themselves and need only tallies of each other. */
const READER_PERIOD_MS = 700;
/**
 * Readers pass on crashes sooner: until all VMs know, servers go on to end. So
 * they do with slow starts, whose rate grows with the news.
 */
const NEWS_PERIOD_MS = 200;
/** A reader queries each other reader once within this time. */
const READER_ROUND_MS = 2100;
/**
 * The number of VMs in a data centre that query their reader once per
 * PERIOD_MS; with more of them the period grows. With a period that is too
 * long a VM's replica turns stale and the VM reads the store itself.
 */
const VMS_PER_PERIOD = 16;
const ANSWER_TIMEOUT_MS = 800;
/** The greatest age that is told, also of what was never up to date. */
const MAX_AGE_MS = 2 ** 31;
/** The rest of an update has the rest of its frame. */
const MAX_TOPICS_BYTES = 0.9 * MAX_FRAME_BYTES;

/** Whom to query next. */
type NextPeer = "reader" | "reader_again" | "random_member";

type QueryOutcome = "answered" | "timeout" | "failed";

/** Exchanges updates between this VM and the others. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  /** Distinguishes this process's tallies from those before a restart. */
  readonly #instance: string;
  readonly #readersOf = cachedByMembers(storeReadersOf);
  #next: NextPeer = "reader";
  #turn = 0;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#instance = `${options.vm}#${
      options.random().toString(36).slice(2, 8)
    }`;
  }

  /** The store readers by this VM's membership, in order of rank. */
  #storeReaders(): readonly StoreReaderCandidate[] {
    return this.#readersOf(this.#options.node().membership());
  }

  /** This VM's rank among the store readers; undefined if it is not one. */
  rank(): number | undefined {
    const rank = this.#storeReaders().findIndex(({ vm }) =>
      vm === this.#options.vm
    );
    return rank < 0 ? undefined : rank;
  }

  /** Queries other VMs periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { sleep, random } = this.#options;
    while (!signal.aborted) {
      const vm = this.#nextPeer();
      if (vm !== undefined) this.#next = this.#nextAfter(await this.#query(vm));
      await sleep(this.#periodMs() * (0.75 + random() / 2), signal);
    }
  }

  /** Applies a peer's message and returns the reply to it. */
  answer(vm: string, value: unknown): unknown {
    const busy = parseBusyNotice(value);
    if (busy !== undefined) {
      this.#options.fleet.markBusy(busy.busyBackend, busy.forMs);
      return null;
    }
    const lent = this.#options.leases.answer(vm, value);
    if (lent !== undefined) return lent;
    const update = parsePeerUpdate(value);
    if (update === undefined) {
      this.#options.logger.warn("malformed peer update", { from: vm });
      return null;
    }
    // It may have waited here for as long as this VM was held up.
    this.#apply(update, -Infinity);
    return this.#updateFor(vm, update.have);
  }

  /** Reports a busy server to the other VMs of this data centre. */
  reportBusy(busyBackend: string, forMs: number): void {
    const { node } = this.#options;
    const state = node().membership();
    const notice: BusyNotice = { busyBackend, forMs };
    for (const { update } of presentMembers(state)) {
      if (update.place !== state.self.place) continue;
      void node().query(update.vm, { kind: "exchange", news: notice }, {
        timeoutMs: ANSWER_TIMEOUT_MS,
      });
    }
  }

  /** Grows with the data centre, so that the load of its reader is bounded. */
  #periodMs(): number {
    const readers = this.#storeReaders();
    if (readers.some(({ vm }) => vm === this.#options.vm)) {
      const otherCount = Math.max(1, readers.length - 1);
      const { prompts, slowStarts } = this.#options;
      const hasNews = prompts.hasNews || slowStarts.activeCount > 0;
      return Math.min(
        hasNews ? NEWS_PERIOD_MS : READER_PERIOD_MS,
        READER_ROUND_MS / otherCount,
      );
    }
    const state = this.#options.node().membership();
    const nearCount = presentMembers(state)
      .filter(({ update }) => update.place === state.self.place).length;
    return PERIOD_MS * Math.max(1, nearCount / VMS_PER_PERIOD);
  }

  /**
   * A connection on which a query times out is closed, as it may have fallen
   * silent; so the reader is queried once more, on a new one.
   */
  #nextAfter(outcome: QueryOutcome): NextPeer {
    if (outcome === "answered" || this.#next === "random_member") {
      return "reader";
    }
    const isFirst = this.#next === "reader";
    return isFirst && outcome === "timeout" ? "reader_again" : "random_member";
  }

  /** Returns a reader, or a random member after a reader did not answer. */
  #nextPeer(): string | undefined {
    const { vm, node, random } = this.#options;
    const readers = this.#storeReaders().filter((reader) => reader.vm !== vm);
    const { self } = node().membership();
    const near = readers.filter(({ place }) => place === self.place);
    const members = presentMembers(node().membership())
      .map(({ update }) => update);
    const preferred = near.length > 0 ? near : readers;
    if (this.#next === "random_member" || preferred.length === 0) {
      return members[Math.floor(random() * members.length)]?.vm;
    }
    if (this.#next === "reader") this.#turn += 1;
    return preferred[this.#turn % preferred.length]?.vm;
  }

  async #query(vm: string): Promise<QueryOutcome> {
    const askedAtMs = this.#options.clock();
    const sent = await this.#send(vm, this.#updateFor(vm, undefined));
    if (sent.isErr()) return sent.error;
    const answer = sent.value;
    this.#apply(answer, askedAtMs);
    const isBehind = TOPICS.some((name) =>
      (answer.have[name] ?? -1) <
        (this.#options.replicas[name].nextOffset ?? -1)
    );
    if (isBehind) await this.#send(vm, this.#updateFor(vm, answer.have));
    return "answered";
  }

  async #send(
    vm: string,
    update: unknown,
  ): Promise<Result<PeerUpdate, "timeout" | "failed">> {
    const answer = await this.#options.node().query(
      vm,
      { kind: "exchange", news: update },
      { timeoutMs: ANSWER_TIMEOUT_MS },
    );
    if (answer.isErr()) {
      return err(answer.error.fault === "timeout" ? "timeout" : "failed");
    }
    const received = answer.value.kind === "exchanged"
      ? parsePeerUpdate(answer.value.news)
      : undefined;
    return received === undefined ? err("failed") : ok(received);
  }

  /**
   * Encodes an update for a VM. Without the offsets that the VM has read, it
   * holds this VM's offsets only and no records.
   */
  #updateFor(vm: string, readOffsets: PeerUpdate["have"] | undefined): unknown {
    const { replicas, registry, fleet, clock, logger } = this.#options;
    const { limits, cold, brittleness, statements, prompts } = this.#options;
    const readers = this.#storeReaders().map((reader) => reader.vm);
    const isSenderReader = readers.includes(this.#options.vm);
    const isReceiverReader = readers.includes(vm);
    const maxHopCount = maxHopCountFor({ isSenderReader, isReceiverReader });
    const topics: Parameters<typeof encodePeerUpdate>[0]["topics"] = {};
    let leftBytes = MAX_TOPICS_BYTES;
    for (const name of TOPICS) {
      if (readOffsets === undefined) continue;
      const topic = replicas[name].updateSince(readOffsets[name] ?? undefined);
      if (topic === undefined) continue;
      leftBytes -= encodedBytesOf(topic);
      if (leftBytes < 0) {
        logger.warn("topic too large for an update", { topic: name, to: vm });
        continue;
      }
      const ageMs = Math.min(MAX_AGE_MS, Math.max(0, topic.ageMs));
      topics[name] = { ...topic, ageMs };
    }
    return encodePeerUpdate({
      teller: this.#instance,
      have: {
        operators: replicas.operators.nextOffset ?? null,
        servers: replicas.servers.nextOffset ?? null,
      },
      topics,
      rollouts: createRolloutReports(registry, {
        instance: this.#instance,
        nowMs: clock(),
        isSenderReader,
        isReceiverReader,
      }),
      loads: fleet.sharedLoads({ maxHopCount }),
      limits: limits.toShare({ maxHopCount }),
      cold: cold.toShare({ maxHopCount }),
      brittle: brittleness.toShare({ maxHopCount }),
      leaving: statements.toShare(),
      slowStarts: this.#options.slowStarts.toShare({ maxHopCount }),
      evacuations: this.#options.evacuations.toShare(),
      admission: this.#options.admission.toShare({
        receiver: vm,
        isSenderReader,
        isReceiverReader,
      }),
      ...prompts.toShare(),
    });
  }

  /** Applies an update that was sent at the time or later. */
  #apply(update: PeerUpdate, sentAtMs: number): void {
    const { replicas, registry, fleet, clock } = this.#options;
    const { limits, cold, brittleness, statements, prompts } = this.#options;
    fleet.mergeLoads(update.loads);
    limits.merge(update.limits);
    cold.merge(update.cold);
    brittleness.merge(update.brittle);
    statements.merge(update.leaving);
    this.#options.slowStarts.merge(update.slowStarts);
    this.#options.evacuations.merge(update.evacuations);
    this.#options.admission.merge(update.teller, update.admission);
    prompts.merge(update);
    for (const name of TOPICS) {
      const topic = update.topics[name];
      if (topic !== undefined) replicas[name].applyUpdate(topic, sentAtMs);
    }
    for (const rollout of update.rollouts) {
      const tallies = rollout.tallies.filter(({ vm }) => vm !== this.#instance);
      const sender = update.teller;
      registry.applyReport({ ...rollout, tallies }, { nowMs: clock(), sender });
    }
  }
}
