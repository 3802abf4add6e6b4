/** One VM of a played site: what it has read of the orders and servers. */
import { applyRoster, EMPTY_ROSTER } from "../../decision/mod.ts";
import {
  type BackendServer,
  type Clock,
  type RolloutOrder,
  silentLogger,
} from "../../model/mod.ts";
import { BackendFleet } from "../servers/backend_fleet.ts";
import { RolloutRegistry } from "./rollout_registry.ts";
import { createRolloutReports } from "./rollout_report.ts";

/** The records of the store's topics; an index is an offset. */
export interface SiteTopics {
  readonly orders: RolloutOrder[];
  readonly servers: {
    readonly id: string;
    /** Absent where the entry was dropped. */
    readonly server: BackendServer | undefined;
  }[];
}

/** Records read of each topic. */
export interface ReadCounts {
  readonly orders: number;
  readonly servers: number;
}

export class SiteVm {
  readonly name: string;
  readonly startedAtMs: number;
  readonly fleet: BackendFleet;
  readonly registry: RolloutRegistry;
  nextReadMs: number;
  nextExchangeMs: number;
  readonly #clock: Clock;
  readonly #service: string;
  #roster = EMPTY_ROSTER;
  #read: ReadCounts = { orders: 0, servers: 0 };
  #currentAtMs = -Infinity;

  constructor(
    name: string,
    { clock, vmCount, service }: {
      readonly clock: Clock;
      readonly vmCount: number;
      readonly service: string;
    },
  ) {
    this.name = name;
    this.startedAtMs = clock();
    this.nextReadMs = this.startedAtMs;
    this.nextExchangeMs = this.startedAtMs;
    this.#clock = clock;
    this.#service = service;
    this.fleet = new BackendFleet({ clock });
    this.registry = new RolloutRegistry({
      fleet: this.fleet,
      canaryShare: 0.15,
      canarySlackCount: 30,
      vm: name,
      vmCount: () => vmCount,
      ordersAgeMs: () => this.ageMs,
      clock,
      logger: silentLogger,
    });
  }

  /** Time since the known orders were up to date. */
  get ageMs(): number {
    return this.#clock() - this.#currentAtMs;
  }

  /** Reads what a store reader has read. */
  readFrom(reader: SiteVm, topics: SiteTopics): void {
    this.read(topics, { ...reader.#read, ageMs: reader.ageMs });
  }

  /** Applies the records up to the counts. */
  read(
    { orders, servers }: SiteTopics,
    { ageMs, ...counts }: ReadCounts & { readonly ageMs: number },
  ): void {
    this.#currentAtMs = Math.max(this.#currentAtMs, this.#clock() - ageMs);
    const before = this.#read;
    const isFirst = before.servers === 0;
    this.#read = {
      orders: Math.max(before.orders, counts.orders),
      servers: Math.max(before.servers, counts.servers),
    };
    for (const order of orders.slice(before.orders, counts.orders)) {
      this.registry.applyOrder(order, !isFirst);
    }
    if (counts.servers <= before.servers) return;
    const records = servers.slice(before.servers, counts.servers)
      .map((record, index) => ({ ...record, offset: before.servers + index }));
    const event = { kind: "changed", records } as const;
    this.#roster = applyRoster(this.#roster, event, this.#clock());
    this.fleet.update(this.#roster);
    this.registry.recordVersions([this.#service]);
  }

  /** Tells another VM of the roll-outs; the news is `wayMs` old by then. */
  tell(other: SiteVm, wayMs: number): void {
    const nowMs = this.#clock();
    const reports = createRolloutReports(this.registry, {
      instance: this.name,
      nowMs: nowMs - wayMs,
      isSenderReader: false,
      isReceiverReader: false,
    });
    for (const report of reports) {
      const ageMs = Math.max(0, report.ageMs);
      other.registry.applyReport({ ...report, ageMs }, {
        nowMs,
        sender: this.name,
      });
    }
  }
}
