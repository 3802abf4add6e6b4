/**
 * Roll-outs before many VMs in virtual time. Each VM has its own view of the
 * orders and servers: the store readers read them, the others learn of them at
 * their next exchange, whose pause grows with the data centre. Sessions send
 * each request to another VM. Counts the requests that change the version of
 * their session against the platform's rule.
 */
import { serverOf } from "../../decision/manifest_fixture.ts";
import { seededRandom } from "../../decision/membership_fixture.ts";
import { dueStage, isEnded } from "../../decision/mod.ts";
import { type BackendServer, type Random } from "../../model/mod.ts";
import {
  type PlayedRollout,
  SessionHops,
  type SiteOutcome,
} from "./session_hops_fixture.ts";
import { type SiteTopics, SiteVm } from "./site_vm_fixture.ts";

/** A server of a version that drains or ends, or is back. */
export interface ServerChange {
  readonly atMs: number;
  readonly id: string;
  readonly status: "ready" | "draining" | "gone";
}

export interface SitePlay {
  readonly seed: number;
  readonly vmCount: number;
  readonly placeCount: number;
  /** Servers of each version; those of the first one are `v1-0`, `v1-1`... */
  readonly serverCount: number;
  readonly sessionCount: number;
  readonly rollouts: readonly PlayedRollout[];
  readonly changes?: readonly ServerChange[];
  /** VMs that end and start again, by index. */
  readonly restarts?: readonly {
    readonly atMs: number;
    readonly vm: number;
  }[];
  readonly endMs: number;
}

const SERVICE = "drafting";
const STEP_MS = 10;
/** One way between two VMs. */
const MAX_WAY_MS = 40;
const SERVER_PAUSE_MS = 750;
/** A VM that is told nothing for this long reads the store itself. */
const STALE_MS = 1500;
const EXCHANGE_MS = 400;
const VMS_PER_PERIOD = 16;
const READER_EXCHANGE_MS = 700;
/** The servers of a reverted target drain so much later. */
const DRAIN_AFTER_MS = 4000;
/** Entries of servers that have ended stay for this long at most. */
const EXPIRY_MS = 3600;

/** Plays a site. */
export function playSite(play: SitePlay): SiteOutcome {
  return new Site(play).run();
}

class Site {
  readonly #play: SitePlay;
  readonly #random: Random;
  readonly #clock = { nowMs: 0 };
  readonly #vms: SiteVm[];
  readonly #topics: SiteTopics = { orders: [], servers: [] };
  /** Servers that answer. */
  readonly #running = new Map<string, BackendServer>();
  /** Servers that have left for a while. */
  readonly #away = new Map<string, BackendServer>();
  /** Entries to be written, by time. */
  readonly #due: { atMs: number; write: () => void }[] = [];
  readonly #hops: SessionHops;

  constructor(play: SitePlay) {
    this.#play = play;
    this.#random = seededRandom(play.seed);
    this.#hops = new SessionHops(play, this.#random);
    for (const id of this.#idsOf("v1")) this.#register(id, "v1");
    this.#vms = Array.from(
      { length: play.vmCount },
      (_, index) => this.#createVm(index),
    );
    for (const rollout of play.rollouts) this.#plan(rollout);
    for (const { atMs, id, status } of play.changes ?? []) {
      this.#due.push({ atMs, write: () => this.#change(id, status) });
    }
    for (const { atMs, vm } of play.restarts ?? []) {
      const write = (): void => {
        this.#vms[vm] = this.#createVm(vm);
      };
      this.#due.push({ atMs, write });
    }
  }

  run(): SiteOutcome {
    const { endMs } = this.#play;
    for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
      this.#clock.nowMs = nowMs;
      for (const due of this.#due.filter(({ atMs }) => atMs <= nowMs)) {
        this.#due.splice(this.#due.indexOf(due), 1);
        due.write();
      }
      for (const [index, vm] of this.#vms.entries()) this.#step(vm, index);
      this.#writeStage();
      this.#hops.step(nowMs, {
        vms: this.#vms,
        service: SERVICE,
        isRunning: ({ id, version }) =>
          this.#running.get(id)?.version === version,
      });
    }
    return this.#hops.outcome;
  }

  #idsOf(version: string): string[] {
    return Array.from(
      { length: this.#play.serverCount },
      (_, index) => `${version}-${index}`,
    );
  }

  #plan({ target, atMs, serverLeadMs, ...rollout }: PlayedRollout): void {
    const { durationMs, foundAfterMs } = rollout;
    this.#due.push({
      atMs: atMs - serverLeadMs,
      write: () => {
        for (const id of this.#idsOf(target)) this.#register(id, target);
      },
    }, {
      atMs,
      write: () => {
        const offset = this.#topics.orders.length + 1;
        this.#topics.orders.push({
          service: SERVICE,
          target,
          durationMs,
          offset,
        });
      },
    });
    if (foundAfterMs === undefined) return;
    this.#due.push({
      atMs: atMs + foundAfterMs,
      write: () => {
        const record = this.#vms[0]?.registry.rollouts.get(SERVICE);
        if (record?.order.target === target) record.fault = "slow";
      },
    });
  }

  #register(id: string, version: string): void {
    const server = serverOf(id, { service: SERVICE, version });
    this.#running.set(id, server);
    this.#away.delete(id);
    this.#topics.servers.push({ id, server });
  }

  /** A server that has left may be back, until its version has ended. */
  #change(id: string, status: ServerChange["status"]): void {
    const away = this.#away.get(id);
    if (status === "ready") {
      if (away !== undefined) this.#register(id, away.version);
      return;
    }
    const server = this.#running.get(id);
    if (server === undefined) return;
    this.#away.set(id, server);
    if (status === "draining") {
      this.#topics.servers.push({ id, server: { ...server, status } });
      return;
    }
    this.#running.delete(id);
    this.#due.push({
      atMs: this.#clock.nowMs + EXPIRY_MS * this.#random(),
      write: () => this.#topics.servers.push({ id, server: undefined }),
    });
  }

  #createVm(index: number): SiteVm {
    const vm = new SiteVm(`vm-${index}`, {
      clock: () => this.#clock.nowMs,
      vmCount: this.#play.vmCount,
      service: SERVICE,
    });
    vm.nextReadMs += SERVER_PAUSE_MS * this.#random();
    this.#readAll(vm);
    return vm;
  }

  #readAll(vm: SiteVm): void {
    vm.read(this.#topics, {
      orders: this.#topics.orders.length,
      servers: this.#topics.servers.length,
      ageMs: 0,
    });
  }

  /** The first VM of each place reads the store; the others ask it. */
  #step(vm: SiteVm, index: number): void {
    const { nowMs } = this.#clock;
    const { placeCount, vmCount } = this.#play;
    const isReader = index < placeCount;
    if (isReader) {
      const isDue = nowMs >= vm.nextReadMs;
      if (isDue) vm.nextReadMs = nowMs + SERVER_PAUSE_MS;
      vm.read(this.#topics, {
        orders: this.#topics.orders.length,
        servers: isDue ? this.#topics.servers.length : 0,
        ageMs: 0,
      });
    } else if (vm.ageMs > STALE_MS) this.#readAll(vm);
    if (nowMs < vm.nextExchangeMs) return;
    const nearCount = vmCount / placeCount;
    const pauseMs = isReader
      ? READER_EXCHANGE_MS
      : EXCHANGE_MS * Math.max(1, nearCount / VMS_PER_PERIOD);
    vm.nextExchangeMs = nowMs + pauseMs * (0.75 + this.#random() / 2);
    const reader = isReader
      ? this.#vms[(index + 1) % placeCount]
      : this.#vms[index % placeCount];
    if (reader === undefined || reader === vm) return;
    const wayMs = MAX_WAY_MS * this.#random();
    vm.tell(reader, wayMs);
    reader.tell(vm, wayMs);
    vm.readFrom(reader, this.#topics);
  }

  /** The first reader writes the statuses; the others learn them from it. */
  #writeStage(): void {
    const { nowMs } = this.#clock;
    const registry = this.#vms[0]?.registry;
    const rollout = registry?.rollouts.get(SERVICE);
    if (registry === undefined || rollout === undefined) return;
    const stage = dueStage(rollout, { nowMs, otherInFlightCount: 1 });
    if (stage === undefined) return;
    const { target, offset } = rollout.order;
    registry.applyStatus({
      service: SERVICE,
      target,
      stage,
      orderOffset: offset,
    });
    if (!isEnded(stage)) return;
    this.#hops.recordEnd(target, { stage, nowMs });
    // The operators stop the other versions at once, or drain the target.
    const isTarget = stage === "reverted";
    this.#due.push({
      atMs: isTarget ? nowMs + DRAIN_AFTER_MS : nowMs,
      write: () => this.#end((version) => (version === target) === isTarget),
    });
  }

  /** Ends the versions for good. */
  #end(isOf: (version: string) => boolean): void {
    for (const { id, version } of [...this.#running.values()]) {
      if (isOf(version)) this.#change(id, "gone");
    }
    for (const [id, { version }] of this.#away) {
      if (isOf(version)) this.#away.delete(id);
    }
  }
}
