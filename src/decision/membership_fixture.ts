/**
 * An in-memory network for tests of the membership protocol, with virtual time,
 * seeded randomness, and message loss, delay, partitions and paused hosts as
 * set by a test.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type Random, type Vm } from "../model/mod.ts";
import { type MemberStatus } from "./member.ts";
import { applyMembership, type MembershipEvent } from "./membership.ts";
import { nextTickAtMs } from "./membership_probe.ts";
import {
  createMembership,
  type MembershipMessage,
  type MembershipOptions,
  type MembershipState,
} from "./membership_state.ts";

const UINT32 = 2 ** 32;

/** Returns a deterministic random source. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32;
}

export interface NetworkOptions {
  readonly seed: number;
  readonly lossShare?: number;
  readonly delayMs?: number;
  readonly membership?: Partial<MembershipOptions>;
  readonly onSend?: (from: string, message: MembershipMessage) => void;
  readonly onDeliver?: (from: string, to: string) => void;
}

interface Host {
  state: MembershipState;
  isRunning: boolean;
  isPaused: boolean;
  tickAtMs: number;
  /** Events that arrived during a pause. */
  readonly bufferedEvents: MembershipEvent[];
}

/** Simulated hosts that run the protocol with each other. */
export class SimulatedNetwork {
  nowMs = 0;
  /** When a host was killed last. */
  killedAtMs = -Infinity;
  lossShare: number;
  /** Whether messages between two hosts are dropped. */
  isPartitioned: (from: string, to: string) => boolean = () => false;
  readonly #options: NetworkOptions;
  readonly #random: Random;
  readonly #hosts = new Map<string, Host>();
  readonly #schedule = new Map<number, (() => void)[]>();
  /** Every status change, with the host that made it. */
  readonly changes: {
    readonly atMs: number;
    readonly observer: string;
    readonly vm: string;
    readonly status: MemberStatus;
    readonly incarnation: number;
  }[] = [];

  constructor(options: NetworkOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    this.lossShare = options.lossShare ?? 0;
  }

  /** Starts a host with the VM list `list`. */
  start(vm: Vm, list: readonly Vm[]): void {
    const { place, address, peerAddress } = vm;
    const self = { vm: vm.vm, place, address, peerAddress };
    const options = { ...this.#options.membership, nowMs: this.nowMs };
    const host: Host = {
      state: createMembership(self, options),
      isRunning: true,
      isPaused: false,
      tickAtMs: Number.POSITIVE_INFINITY,
      bufferedEvents: [],
    };
    this.#hosts.set(vm.vm, host);
    this.apply(vm.vm, { kind: "listed", vms: list });
  }

  /** Starts a host that knows one other, as by a handshake with a seed. */
  startFrom(vm: string, seed: string): void {
    const { state } = this.#hostOf(seed);
    this.start(entryVm(vm), []);
    this.apply(vm, { kind: "met", from: state.self });
  }

  /** The names of the running hosts. */
  names(): string[] {
    return [...this.#hosts.keys()];
  }

  /** Stops a host at once, without a leave message. */
  kill(vm: string): void {
    const host = this.#hosts.get(vm);
    if (host !== undefined) host.isRunning = false;
    this.killedAtMs = this.nowMs;
    this.#hosts.delete(vm);
  }

  /** Suspends a host until `resume`. */
  pause(vm: string): void {
    this.#hostOf(vm).isPaused = true;
  }

  /** Resumes a host: first its overdue tick, then the buffered events. */
  resume(vm: string): void {
    const host = this.#hostOf(vm);
    host.isPaused = false;
    this.apply(vm, { kind: "tick" });
    for (const event of host.bufferedEvents.splice(0)) this.apply(vm, event);
  }

  /** Applies an event at a host, or buffers it while the host is paused. */
  apply(vm: string, event: MembershipEvent): void {
    const host = this.#hosts.get(vm);
    if (host === undefined) return;
    if (host.isPaused) {
      host.bufferedEvents.push(event);
      return;
    }
    const step = applyMembership(host.state, event, {
      nowMs: this.nowMs,
      random: this.#random,
    });
    host.state = step.state;
    for (const effect of step.effects) {
      if (effect.kind === "changed") {
        const { vm: other, status, incarnation } = effect.update;
        const { nowMs: atMs } = this;
        this.changes.push({
          atMs,
          observer: vm,
          vm: other,
          status,
          incarnation,
        });
      } else this.#send(vm, effect.to.peerAddress, effect.message);
    }
    this.#scheduleTick(vm, host);
  }

  /** Advances virtual time. */
  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      const due = this.#schedule.get(this.nowMs);
      this.#schedule.delete(this.nowMs);
      for (const action of due ?? []) action();
    }
  }

  /** Advances time until `isDone`; returns the duration, or `undefined`. */
  runUntil(isDone: () => boolean, limitMs: number): number | undefined {
    const STEP_MS = 50;
    const startMs = this.nowMs;
    while (!isDone()) {
      if (this.nowMs - startMs >= limitMs) return undefined;
      this.run(STEP_MS);
    }
    return this.nowMs - startMs;
  }

  stateOf(vm: string): MembershipState {
    return this.#hostOf(vm).state;
  }

  /** Returns the status of a VM in the view of another one. */
  statusOf(observer: string, vm: string): MemberStatus | undefined {
    return this.stateOf(observer).members.get(vm)?.update.status;
  }

  /** Whether exactly the other hosts are alive in the view of each host. */
  hasConverged(): boolean {
    const names = [...this.#hosts.keys()];
    for (const [name, host] of this.#hosts) {
      for (const other of names) {
        if (other === name) continue;
        if (host.state.members.get(other)?.update.status !== "alive") {
          return false;
        }
      }
      for (const [other, member] of host.state.members) {
        if (member.update.status === "alive" && !this.#hosts.has(other)) {
          return false;
        }
      }
    }
    return true;
  }

  #send(from: string, peerAddress: string, message: MembershipMessage): void {
    this.#options.onSend?.(from, message);
    const to = this.#hostAt(peerAddress);
    const isLost = this.#random() < this.lossShare;
    if (to === undefined || isLost || this.isPartitioned(from, to)) return;
    const delayMs = this.#options.delayMs ?? 1;
    this.#at(this.nowMs + delayMs, () => {
      const isSameHost = this.#hostAt(peerAddress) === to;
      if (!isSameHost) return;
      this.#options.onDeliver?.(from, to);
      this.apply(to, { kind: "message", message });
    });
  }

  #scheduleTick(vm: string, host: Host): void {
    const atMs = Math.max(this.nowMs + 1, Math.ceil(nextTickAtMs(host.state)));
    if (host.tickAtMs <= atMs && host.tickAtMs > this.nowMs) return;
    host.tickAtMs = atMs;
    this.#at(atMs, () => {
      const isDue = host.tickAtMs === atMs && host.isRunning;
      if (isDue && !host.isPaused) this.apply(vm, { kind: "tick" });
    });
  }

  #at(atMs: number, action: () => void): void {
    const actions = this.#schedule.get(atMs) ?? [];
    actions.push(action);
    this.#schedule.set(atMs, actions);
  }

  #hostAt(peerAddress: string): string | undefined {
    const vm = peerAddress.split(":")[0] ?? "";
    const state = this.#hosts.get(vm)?.state;
    return state?.self.peerAddress === peerAddress ? vm : undefined;
  }

  #hostOf(vm: string): Host {
    const host = this.#hosts.get(vm);
    if (host === undefined) throw new Error(`no host ${vm}`);
    return host;
  }
}

/** Returns a live entry VM of a VM list. */
export function entryVm(
  vm: string,
  fields: { readonly place?: string; readonly port?: number } = {},
): Vm {
  const { place = "khomas-a", port = 1 } = fields;
  return {
    vm,
    kind: "entry",
    service: "",
    place,
    address: `${vm}:80`,
    peerAddress: `${vm}:${port}`,
    status: "live",
  };
}

/** Returns entry VMs `vm-0`, `vm-1`, ..., with places assigned round-robin. */
export function entryVms(count: number, places: readonly string[]): Vm[] {
  const vms: Vm[] = [];
  for (let index = 0; index < count; index++) {
    const place = places[index % places.length] ?? "khomas-a";
    vms.push(entryVm(`vm-${index}`, { place }));
  }
  return vms;
}
