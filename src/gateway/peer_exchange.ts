/**
 * Keeps the VMs in step with each other. Each one asks its data centre's reader
 * of the store every half second, and tells what it knows in turn; the readers
 * ask each other by turns, and pass on what their own data centre's VMs told.
 * Where no reader answers, any member is asked. So the cost of a VM that is no
 * reader does not grow with the fleet, little goes between regions, and a VM
 * that the store turns away learns all the same.
 */
import {
  isEnded,
  presentMembers,
  type ReaderCandidate,
  readersOf,
} from "../decision/mod.ts";
import {
  type Clock,
  type Logger,
  type Random,
  type Sleep,
} from "../model/mod.ts";
import { type PeerNode } from "../wire/mod.ts";
import { type BackendFleet } from "./backend_fleet.ts";
import {
  type BusyNotice,
  encodePeerUpdate,
  parseBusyNotice,
  parsePeerUpdate,
  type PeerUpdate,
  type RolloutReport,
  type TopicName,
  TOPICS,
} from "./peer_update.ts";
import { type RolloutRegistry } from "./rollout_registry.ts";
import { type TopicReplica } from "./topic_replica.ts";

/** What an exchange needs. */
export interface PeerExchangeOptions {
  readonly vm: string;
  readonly node: () => PeerNode;
  readonly replicas: Readonly<Record<TopicName, TopicReplica>>;
  readonly registry: RolloutRegistry;
  readonly fleet: BackendFleet;
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly random: Random;
  readonly logger: Logger;
}

const PERIOD_MS = 400;
/** Readers read for themselves and ask each other only for what they saw. */
const READER_PERIOD_MS = 700;
/** Within this a reader has asked each of the others once. */
const READER_ROUND_MS = 2100;
/**
 * So many VMs ask their reader at the usual pace. With a longer one a VM's news
 * are older than it accepts, and it reads the store for itself.
 */
const VMS_ASKING_AT_ONCE = 16;
const ANSWER_TIMEOUT_MS = 800;
const MAX_AGE_MS = 2 ** 31;

/** The exchange of one VM. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  /** Tells this process's tallies from those of an earlier life. */
  readonly #life: string;
  #isAnswered = true;
  #turn = 0;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#life = `${options.vm}#${options.random().toString(36).slice(2, 8)}`;
  }

  /** The readers of the store as this VM sees them, first in rank first. */
  #readers(): ReaderCandidate[] {
    const state = this.#options.node().membership();
    const members = presentMembers(state).map(({ update }) => update);
    const alive = [state.self, ...members].filter(({ status }) =>
      status === "alive"
    );
    return readersOf(alive);
  }

  /** This VM's rank among the readers. */
  rank(): number | undefined {
    const rank = this.#readers().findIndex(({ vm }) => vm === this.#options.vm);
    return rank < 0 ? undefined : rank;
  }

  /** Asks others until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { sleep, random } = this.#options;
    while (!signal.aborted) {
      const vm = this.#partner();
      if (vm !== undefined) this.#isAnswered = await this.#ask(vm);
      await sleep(this.#periodMs() * (0.75 + random() / 2), signal);
    }
  }

  /** Answers a peer that asked. */
  answer(vm: string, value: unknown): unknown {
    const busy = parseBusyNotice(value);
    if (busy !== undefined) {
      this.#options.fleet.noteBusy(busy.busyBackend, busy.forMs);
      return null;
    }
    const news = parsePeerUpdate(value);
    if (news === undefined) {
      this.#options.logger.warn("news that cannot be read", { from: vm });
      return null;
    }
    this.#take(news);
    return this.#newsFor(vm, news.have);
  }

  /** Tells the other VMs of this data centre. */
  reportBusy(busyBackend: string, forMs: number): void {
    const { node } = this.#options;
    const state = node().membership();
    const news: BusyNotice = { busyBackend, forMs };
    for (const { update } of presentMembers(state)) {
      if (update.place !== state.self.place) continue;
      void node().ask(update.vm, { kind: "exchange", news }, {
        timeoutMs: ANSWER_TIMEOUT_MS,
      });
    }
  }

  /** Longer in a large data centre, so that its reader is not asked more. */
  #periodMs(): number {
    const readers = this.#readers();
    if (readers.some(({ vm }) => vm === this.#options.vm)) {
      const otherCount = Math.max(1, readers.length - 1);
      return Math.min(READER_PERIOD_MS, READER_ROUND_MS / otherCount);
    }
    const state = this.#options.node().membership();
    const nearCount = presentMembers(state)
      .filter(({ update }) => update.place === state.self.place).length;
    return PERIOD_MS * Math.max(1, nearCount / VMS_ASKING_AT_ONCE);
  }

  /** Whom to ask: a reader, or anyone after a reader did not answer. */
  #partner(): string | undefined {
    const { vm, node, random } = this.#options;
    const readers = this.#readers().filter((reader) => reader.vm !== vm);
    const { self } = node().membership();
    const near = readers.filter(({ place }) => place === self.place);
    const members = presentMembers(node().membership())
      .map(({ update }) => update);
    const preferred = near.length > 0 ? near : readers;
    const isLost = !this.#isAnswered || preferred.length === 0;
    if (isLost) return members[Math.floor(random() * members.length)]?.vm;
    this.#turn += 1;
    return preferred[this.#turn % preferred.length]?.vm;
  }

  async #ask(vm: string): Promise<boolean> {
    const answer = await this.#send(vm, this.#newsFor(vm, undefined));
    if (answer === undefined) return false;
    this.#take(answer);
    const lacks = TOPICS.some((name) =>
      (answer.have[name] ?? -1) <
        (this.#options.replicas[name].nextOffset ?? -1)
    );
    if (lacks) await this.#send(vm, this.#newsFor(vm, answer.have));
    return true;
  }

  async #send(vm: string, news: unknown): Promise<PeerUpdate | undefined> {
    const answer = await this.#options.node().ask(
      vm,
      { kind: "exchange", news },
      { timeoutMs: ANSWER_TIMEOUT_MS },
    );
    if (answer.isErr() || answer.value.kind !== "exchanged") return undefined;
    return parsePeerUpdate(answer.value.news);
  }

  /** Without `lacking` only what this VM has read is told, not its content. */
  #newsFor(vm: string, lacking: PeerUpdate["have"] | undefined): unknown {
    const { replicas: mirrors } = this.#options;
    const topics: Parameters<typeof encodePeerUpdate>[0]["topics"] = {};
    for (const name of TOPICS) {
      if (lacking === undefined) continue;
      const given = mirrors[name].updateSince(lacking[name] ?? undefined);
      if (given === undefined) continue;
      topics[name] = { ...given, ageMs: Math.max(0, given.ageMs) };
    }
    return encodePeerUpdate({
      teller: this.#life,
      have: {
        operators: mirrors.operators.nextOffset ?? null,
        servers: mirrors.servers.nextOffset ?? null,
      },
      topics,
      rollouts: this.#rolloutNewsFor(vm),
    });
  }

  /** While it matters, tallies go to readers; readers pass on what was told. */
  #rolloutNewsFor(vm: string): RolloutReport[] {
    const { registry: book, clock } = this.#options;
    const readers = this.#readers().map((reader) => reader.vm);
    const isForReader = readers.includes(vm);
    const isReader = readers.includes(this.#options.vm);
    return [...book.rollouts.values()].map((rollout) => {
      const own = rollout.createTallyReport(
        this.#life,
        book.otherInFlightCount(rollout),
      );
      const all = isReader ? [own, ...rollout.directTallies()] : [own];
      return {
        service: rollout.order.service,
        orderOffset: rollout.order.offset,
        ageMs: Math.min(MAX_AGE_MS, clock() - rollout.startedAtMs),
        fault: rollout.fault ?? null,
        stage: rollout.stage ?? null,
        isStageKnown: rollout.isStageKnown,
        tallies: isForReader && !isEnded(rollout.stage) ? all : [],
      };
    });
  }

  #take(news: PeerUpdate): void {
    const { replicas: mirrors, registry: book, clock } = this.#options;
    for (const name of TOPICS) {
      const given = news.topics[name];
      if (given !== undefined) mirrors[name].applyUpdate(given);
    }
    for (const rollout of news.rollouts) {
      const tallies = rollout.tallies.filter(({ vm }) => vm !== this.#life);
      const teller = news.teller;
      book.applyReport({ ...rollout, tallies }, { nowMs: clock(), teller });
    }
  }
}
