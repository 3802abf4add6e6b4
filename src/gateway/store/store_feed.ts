/**
 * Feeds the store's records to the gateway: a replica and a follower for the
 * operators' records and another pair for the servers' entries. Changed records
 * are decoded and applied to the gateway's state and the roll-out registry.
 * Records that no manifest refers to are retained for one that will, but within a
 * small bound.
 */
import { type BackendServer } from "../../model/mod.ts";
import { type RosterRecord } from "../../decision/mod.ts";
import { type GatewayMetrics } from "../telemetry/gateway_metrics.ts";
import { type Evacuations } from "../servers/evacuations.ts";
import {
  type GatewayOptions,
  type OperatorRecord,
} from "../gateway_options.ts";
import { type GatewayState } from "../gateway_state.ts";
import { type TopicName } from "../peers/peer_update.ts";
import { DecodedValues } from "./decoded_values.ts";
import { IgnoredRecords } from "./ignored_records.ts";
import { type RecordPolicy } from "./retained_records.ts";
import { eraOf, offsetOf } from "./store_position.ts";
import { type RolloutRegistry } from "../rollout/rollout_registry.ts";
import { LONGEST_ANSWER_MS } from "./store_record.ts";
import { type ReplicaChange, TopicReplica } from "./topic_replica.ts";
import { TopicFollower } from "./topic_follower.ts";

export interface StoreFeedOptions {
  readonly gateway: GatewayOptions;
  readonly state: GatewayState;
  readonly registry: RolloutRegistry;
  readonly evacuations: Evacuations;
  readonly metrics: GatewayMetrics;
  /** Whether this VM reads the store for others. */
  readonly isStoreReader: () => boolean;
  /** Called after records have been applied. */
  readonly onApplied: () => void;
}

/** How long one poll of operators' records waits, as a share of convergeMs. */
const OPERATOR_WAIT_SHARE = 0.25;
/** How long an answer may take beyond that, as a share of the same time. */
const ANSWER_SHARE = 0.2;
/**
 * The longest such wait as a share of evacuateMs: a VM whose reader is frozen
 * reads an order for itself after this wait and MAX_STALE_MARGIN_MS.
 */
const EVACUATION_WAIT_SHARE = 0.4;
/**
 * The pause between two reads of servers' entries, as a share of drainMs.
 * Heartbeats change these entries all the time, so a poll would not wait.
 */
const SERVER_PAUSE_SHARE = 0.3;
/**
 * A VM that is not a store reader reads the store itself when its replica is
 * older than a reader's wait or pause by this share of the time within which a
 * record has to be known.
 */
const STALE_MARGIN_SHARE = 0.3;
/** The longest such margin. */
const MAX_STALE_MARGIN_MS = 900;
/**
 * An order counts as new if the gateway had a manifest before it and the read
 * that brought it is at most this old.
 */
const NEW_ORDER_MAX_AGE_MS = 4000;
/** The longest entry of a server that is retained as it is written. */
const LONGEST_SERVER_BYTES = 2048;

/** The replicas of one VM, and the followers that keep them current. */
export class StoreFeed {
  readonly replicas: Readonly<Record<TopicName, TopicReplica>>;
  readonly #options: StoreFeedOptions;
  readonly #ignored: IgnoredRecords;
  readonly #operatorValues: DecodedValues<OperatorRecord>;
  readonly #serverValues: DecodedValues<BackendServer>;
  /** The services of the manifest in force; undefined before the first one. */
  #services: ReadonlySet<string> | undefined;

  constructor(options: StoreFeedOptions) {
    this.#options = options;
    const { gateway } = options;
    this.#ignored = new IgnoredRecords({ ...options, ...gateway });
    this.#operatorValues = new DecodedValues({
      read: gateway.readOperatorRecord,
      longestBytes: Infinity,
      shorten: (value) => value,
    });
    this.#serverValues = new DecodedValues({
      read: gateway.readServer,
      longestBytes: LONGEST_SERVER_BYTES,
      shorten: gateway.shortenServer ?? ((): undefined => undefined),
    });
    this.replicas = this.#createReplicas();
  }

  /** Follows the store until the signal aborts. */
  run(signal: AbortSignal): void {
    for (const follower of this.#createFollowers()) void follower.run(signal);
  }

  #createReplicas(): Record<TopicName, TopicReplica> {
    const { clock, isOlderServer, settings } = this.#options.gateway;
    const places = new Set(settings.places.map(({ place }) => place));
    return {
      operators: new TopicReplica({
        clock,
        policy: this.#policyOf(
          "operators",
          this.#operatorValues,
          (read) =>
            read.kind === "manifest" ||
            (read.kind === "order"
              ? this.#isNamed(read.order.service)
              : places.has(read.place)),
        ),
        // Operators write no heartbeats, and an order that is written again
        // after a restoration has to be known at its new position.
        isSame: () => false,
        // A store that lost an order to evacuate has not ended it.
        keepsMissing: (key) =>
          this.#operatorValues.read({ key, value: undefined, offset: 0 })
            ?.kind === "evacuation",
        onChange: (change) => this.#applyOperatorRecords(change),
      }),
      servers: new TopicReplica({
        clock,
        policy: this.#policyOf(
          "servers",
          this.#serverValues,
          ({ service }) => this.#isNamed(service),
        ),
        isSame: (a, b) => this.#isSameServer(a, b),
        isOlder: isOlderServer,
        onChange: (change) => this.#applyServerRecords(change),
      }),
    };
  }

  #policyOf<Decoded>(
    topic: TopicName,
    values: DecodedValues<Decoded>,
    isNeeded: (decoded: Decoded) => boolean,
  ): RecordPolicy {
    return {
      valueOf: (record) => values.valueOf(record),
      isNeeded: (record) => {
        const decoded = values.read(record);
        return decoded !== undefined && isNeeded(decoded);
      },
      onIgnored: (record, reason) => this.#ignored.add(topic, record, reason),
    };
  }

  /** Whether the manifest names a service; any may be named before the first. */
  #isNamed(service: string): boolean {
    return this.#services?.has(service) !== false;
  }

  /** Compares decoded entries: a heartbeat changes only the encoded bytes. */
  #isSameServer(a: Buffer, b: Buffer): boolean {
    if (a.equals(b)) return true;
    const [first, second] = [a, b].map((value) =>
      this.#serverValues.decodedOf(value)
    );
    return JSON.stringify(first) === JSON.stringify(second);
  }

  #createFollowers(): TopicFollower[] {
    const { isStoreReader } = this.#options;
    const { operatorTopic, serverTopic, settings } = this.#options.gateway;
    const operatorWaitMs = Math.min(
      OPERATOR_WAIT_SHARE * settings.convergeMs,
      EVACUATION_WAIT_SHARE * settings.evacuateMs,
    );
    const serverPauseMs = SERVER_PAUSE_SHARE * settings.drainMs;
    return [
      new TopicFollower({
        ...this.#options.gateway,
        isStoreReader,
        name: "operators",
        source: operatorTopic,
        replica: this.replicas.operators,
        waitMs: operatorWaitMs,
        answerMs: answerMsWithin(settings.convergeMs),
        pauseMs: 0,
        staleMs: operatorWaitMs + staleMarginMsWithin(settings.convergeMs),
      }),
      new TopicFollower({
        ...this.#options.gateway,
        isStoreReader,
        name: "servers",
        source: serverTopic,
        replica: this.replicas.servers,
        waitMs: 0,
        answerMs: answerMsWithin(settings.drainMs),
        pauseMs: serverPauseMs,
        staleMs: serverPauseMs + staleMarginMsWithin(settings.drainMs),
      }),
    ];
  }

  #applyOperatorRecords(
    { records, restoredFrom, isFirstInEra, source, ageBeforeMs }: ReplicaChange,
  ): void {
    if (restoredFrom !== undefined) {
      this.#recordRestored("operators", restoredFrom);
    }
    const isNewOrder = this.#options.state.routes !== undefined &&
      restoredFrom === undefined &&
      this.replicas.operators.ageMs < NEW_ORDER_MAX_AGE_MS;
    for (const record of records) {
      const read = this.#operatorValues.read(record);
      if (read?.kind === "manifest") {
        this.#options.state.applyManifest(read.manifest, {
          source,
          knownMsAgo: Number.isFinite(ageBeforeMs)
            ? Math.round(ageBeforeMs)
            : undefined,
        });
      }
      if (read?.kind === "order") {
        this.#options.registry.applyOrder(read.order, isNewOrder);
      }
      if (read?.kind === "evacuation") {
        this.#options.evacuations.record(read.place, {
          isOrdered: read.isOrdered,
          era: eraOf(record.offset),
          offset: offsetOf(record.offset),
          writtenEra: isFirstInEra ? 0 : eraOf(record.offset),
        });
      }
    }
    this.#noteServices();
    this.#options.onApplied();
  }

  /** Applies the bounds of records anew if the manifest names other services. */
  #noteServices(): void {
    const services = this.#options.state.routes?.services;
    if (services === undefined || isSameSet(services, this.#services)) return;
    this.#services = services;
    this.replicas.operators.evictUnneeded();
    const evicted = this.replicas.servers.evictUnneeded();
    if (evicted.length === 0) return;
    const records = evicted.map(({ key, offset }): RosterRecord => ({
      id: key,
      server: undefined,
      offset,
    }));
    this.#options.state.applyRosterEvent({ kind: "changed", records });
  }

  #applyServerRecords(
    { records, isAfterOutage, restoredFrom, isPart }: ReplicaChange,
  ): void {
    if (restoredFrom !== undefined) {
      this.#recordRestored("servers", restoredFrom);
    }
    // Entries that the copy lacks are written again, as after an outage.
    if (isAfterOutage || restoredFrom !== undefined) {
      this.#options.state.applyRosterEvent({ kind: "store_returned" });
    }
    this.#options.state.applyRosterEvent({
      kind: "changed",
      records: records.map((record): RosterRecord => ({
        id: record.key,
        server: this.#serverValues.read(record),
        offset: record.offset,
      })),
    }, { isPart });
    const services = new Set<string>();
    for (const { server } of this.#options.state.roster.entries.values()) {
      services.add(server.service);
    }
    this.#options.registry.recordVersions(services);
    this.#options.onApplied();
  }

  #recordRestored(topic: TopicName, restoredFrom: number): void {
    const end = this.replicas[topic].nextOffset ?? restoredFrom;
    this.#options.metrics.count("store_restored", { topic });
    this.#options.gateway.logger.warn("store restored", {
      topic,
      eraBefore: eraOf(restoredFrom),
      era: eraOf(end),
      endBefore: offsetOf(restoredFrom),
      end: offsetOf(end),
    });
  }
}

function answerMsWithin(boundMs: number): number {
  return Math.min(LONGEST_ANSWER_MS, ANSWER_SHARE * boundMs);
}

function staleMarginMsWithin(boundMs: number): number {
  return Math.min(MAX_STALE_MARGIN_MS, STALE_MARGIN_SHARE * boundMs);
}

function isSameSet<Value>(
  a: ReadonlySet<Value>,
  b: ReadonlySet<Value> | undefined,
): boolean {
  return a.size === b?.size && [...a].every((value) => b.has(value));
}
