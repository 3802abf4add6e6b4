/**
 * What is in force, kept in step with the store: a mirror and a follower for
 * the operators' records and for the servers' entries, decoded and handed to
 * the state and the roll-outs.
 */
import { type GatewayOptions } from "./gateway_options.ts";
import { type GatewayState } from "./gateway_state.ts";
import { type TopicName } from "./peer_update.ts";
import { type RolloutRegistry } from "./rollout_registry.ts";
import { type ReplicaChange, TopicReplica } from "./topic_replica.ts";
import { TopicFollower } from "./topic_follower.ts";

/** What a feed needs. */
export interface StoreFeedOptions {
  readonly gateway: GatewayOptions;
  readonly state: GatewayState;
  readonly registry: RolloutRegistry;
  /** Whether this VM reads for others. */
  readonly isStoreReader: () => boolean;
  /** Called after records were taken. */
  readonly onApplied: () => void;
}

/**
 * Of the time within which a manifest is in force, how long one poll waits, and
 * of the time within which a server that leaves gets nothing, how long the
 * reader rests between two reads of entries that change all the time.
 */
const OPERATOR_WAIT_PART = 0.5;
const SERVER_PAUSE_PART = 0.3;
/** A VM that is no reader reads for itself when its news are older by this. */
const STALE_MARGIN_MS = 900;
/** An order is new when the store was read just before. */
const NEW_ORDER_MS = 4000;

/** The store as one VM knows it. */
export class StoreFeed {
  readonly replicas: Readonly<Record<TopicName, TopicReplica>>;
  readonly #options: StoreFeedOptions;

  constructor(options: StoreFeedOptions) {
    this.#options = options;
    this.replicas = this.#openMirrors();
  }

  /** Follows the store until the signal aborts. */
  run(signal: AbortSignal): void {
    for (const follower of this.#followers()) void follower.run(signal);
  }

  #openMirrors(): Record<TopicName, TopicReplica> {
    const { clock, readServer } = this.#options.gateway;
    return {
      operators: new TopicReplica({
        clock,
        isSame: (a, b) => a.equals(b),
        onChange: (change) => this.#takeOperatorRecords(change),
      }),
      servers: new TopicReplica({
        clock,
        isSame: (a, b) => isSameServer(readServer, a, b),
        onChange: (change) => this.#takeServerRecords(change),
      }),
    };
  }

  #followers(): TopicFollower[] {
    const { isStoreReader: isReader } = this.#options;
    const { operatorTopic, serverTopic, settings } = this.#options.gateway;
    const operatorWaitMs = OPERATOR_WAIT_PART * settings.convergeMs;
    const serverPauseMs = SERVER_PAUSE_PART * settings.drainMs;
    return [
      new TopicFollower({
        ...this.#options.gateway,
        isStoreReader: isReader,
        name: "operators",
        source: operatorTopic,
        replica: this.replicas.operators,
        waitMs: operatorWaitMs,
        pauseMs: 0,
        staleMs: operatorWaitMs + STALE_MARGIN_MS,
      }),
      new TopicFollower({
        ...this.#options.gateway,
        isStoreReader: isReader,
        name: "servers",
        source: serverTopic,
        replica: this.replicas.servers,
        waitMs: 0,
        pauseMs: serverPauseMs,
        staleMs: serverPauseMs + STALE_MARGIN_MS,
      }),
    ];
  }

  #takeOperatorRecords({ records }: ReplicaChange): void {
    const isRunning = this.#options.state.routes !== undefined &&
      this.replicas.operators.ageMs < NEW_ORDER_MS;
    for (const record of records) {
      const read = this.#options.gateway.readOperatorRecord(record);
      if (read?.kind === "manifest") {
        this.#options.state.applyManifest(read.manifest);
      }
      if (read?.kind === "order") {
        this.#options.registry.applyOrder(read.order, isRunning);
      }
    }
    this.#options.onApplied();
  }

  #takeServerRecords({ records, isAfterOutage }: ReplicaChange): void {
    if (isAfterOutage) {
      this.#options.state.applyRosterEvent({ kind: "store_returned" });
    }
    this.#options.state.applyRosterEvent({
      kind: "changed",
      records: records.map((record) => ({
        id: record.key,
        server: this.#options.gateway.readServer(record),
        offset: record.offset,
      })),
    });
    const services = new Set<string>();
    for (const { server } of this.#options.state.roster.entries.values()) {
      services.add(server.service);
    }
    this.#options.registry.recordVersions(services);
    this.#options.onApplied();
  }
}

/** Heartbeats change an entry's bytes and nothing that is used of it. */
function isSameServer(
  readServer: GatewayOptions["readServer"],
  a: Buffer,
  b: Buffer,
): boolean {
  if (a.equals(b)) return true;
  const [first, second] = [a, b].map((value) =>
    readServer({ key: "", value, offset: 0 })
  );
  return JSON.stringify(first) === JSON.stringify(second);
}
