/**
 * Plays callers, VMs and servers under twice the load that the servers carry, in
 * virtual time and without a network. Refused callers come back after their
 * retry-after time, at most a third of the time that they have left.
 */
import { type Random } from "../model/mod.ts";
import { chooseBackend } from "./backend_choice.ts";
import { applyFleetAdmission } from "./fleet_admission.ts";
import {
  type FleetAdmissionState,
  IDLE_ADMISSION,
} from "./fleet_admission_state.ts";
import { type CapacityView, usualHoldMs } from "./fleet_admission_order.ts";
import { seededRandom } from "./membership_fixture.ts";
import { expectedRequestCount, type LoadObservation } from "./shared_load.ts";
import { newerOf } from "./shared_observation.ts";
import { type SharedUse, sumUse, useToShare } from "./workspace_use.ts";

const STEP_MS = 5;
const SERVICE = "lookup";
const SLOT_COUNT = 2;
const QUEUE_LIMIT = 6;
const WORK_MS = 200;
const MAX_ATTEMPTS = 3;
const TARGET_MS = 800;
const DEADLINE_MS = 3000;
const WARM_UP_MS = 4000;
/** With less time left a caller gives up. */
const MIN_LEFT_MS = 250;
const LARGE_PARTS = 12;
const PARTS = 17;
const SMALL_COUNT = 5;
/** VMs that a small workspace reaches. */
const SMALL_VM_COUNT = 3;
const STALE_MS = 2000;
const NEWS_DELAY_MS = 400;
const MS_PER_SECOND = 1000;

/** What is played; the decision is the admission or a baseline of it. */
export interface AdmissionPlay {
  readonly seed: number;
  readonly vmCount: number;
  readonly decide: typeof applyFleetAdmission;
  readonly askedPerSecond?: number;
  readonly durationMs?: number;
  /** Whether a VM's news reach the others at a time. */
  readonly isHeard?: (vm: number, nowMs: number) => boolean;
  /** Whether a VM takes requests at a time; its callers go to others if not. */
  readonly isRunning?: (vm: number, nowMs: number) => boolean;
  /** Whether this caller comes back at once and again and again. */
  readonly isEager?: (caller: { readonly workspace: string }) => boolean;
}

/** What became of the callers of one kind. */
export interface CallerTally {
  askedCount: number;
  servedCount: number;
}

/** What came of it, over the time after the start. */
export interface AdmissionResult {
  readonly workspaces: ReadonlyMap<string, CallerTally>;
  readonly priorities: ReadonlyMap<number, CallerTally>;
  readonly inTargetPerSecond: number;
  readonly latePerSecond: number;
  readonly refusalsPerSecond: number;
  readonly medianRefusalMs: number;
  readonly longestWaitMs: number;
  /** Shares of the eager callers and of the others that were served. */
  readonly eager: CallerTally;
  readonly patient: CallerTally;
}

interface Caller {
  readonly id: string;
  readonly workspace: string;
  readonly priority: number;
  readonly vm: number;
  readonly isEager: boolean;
  readonly firstAtMs: number;
  readonly isCounted: boolean;
  sentAtMs: number;
}

interface Job {
  readonly caller: Caller;
  readonly vm: PlayedVm;
  readonly sentAtMs: number;
}

interface PlayedServer {
  readonly id: string;
  readonly running: { readonly job: Job; readonly endsAtMs: number }[];
  readonly queue: Job[];
}

interface PlayedVm {
  readonly index: number;
  readonly inFlight: Map<string, number>;
  readonly loads: Map<string, LoadObservation>;
  readonly waiting: Map<string, Caller>;
  state: FleetAdmissionState;
  news: { readonly atMs: number; readonly use: SharedUse } | undefined;
  holdMs: number;
}

/** Baseline: every request goes to a server at once. */
export const admitAtOnce: typeof applyFleetAdmission = (state, event) => ({
  state,
  effects: event.kind === "arrive"
    ? [{ kind: "release", requestId: event.request.requestId }]
    : [],
});

/** Baseline: each VM decides without the reports of others. */
export const admitAlone: typeof applyFleetAdmission = (state, event, options) =>
  applyFleetAdmission(state, event, { ...options, others: undefined });

/** Plays the load and returns what came of it. */
export function playAdmission(play: AdmissionPlay): AdmissionResult {
  return new Play(play).run();
}

class Play {
  readonly #play: AdmissionPlay;
  readonly #random: Random;
  readonly #servers: PlayedServer[] = [];
  readonly #vms: PlayedVm[] = [];
  readonly #returns: { readonly atMs: number; readonly caller: Caller }[] = [];
  readonly #workspaces = new Map<string, CallerTally>();
  readonly #priorities = new Map<number, CallerTally>();
  readonly #eager: CallerTally = { askedCount: 0, servedCount: 0 };
  readonly #patient: CallerTally = { askedCount: 0, servedCount: 0 };
  readonly #refusalsMs: number[] = [];
  #inTargetCount = 0;
  #lateCount = 0;
  #longestWaitMs = 0;
  #callerCount = 0;
  #nowMs = 0;

  constructor(play: AdmissionPlay) {
    this.#play = play;
    this.#random = seededRandom(play.seed);
    for (let index = 0; index < 4; index++) {
      this.#servers.push({ id: `server-${index}`, running: [], queue: [] });
    }
    for (let index = 0; index < play.vmCount; index++) {
      this.#vms.push({
        index,
        inFlight: new Map(),
        loads: new Map(),
        waiting: new Map(),
        state: IDLE_ADMISSION,
        news: undefined,
        holdMs: WORK_MS,
      });
    }
  }

  run(): AdmissionResult {
    const { durationMs = 24_000, askedPerSecond = 80 } = this.#play;
    let nextAtMs = 0;
    for (; this.#nowMs < durationMs; this.#nowMs += STEP_MS) {
      while (nextAtMs <= this.#nowMs) {
        this.#ask();
        nextAtMs -= Math.log(1 - this.#random()) * MS_PER_SECOND /
          askedPerSecond;
      }
      this.#comeBack();
      for (const server of this.#servers) this.#serve(server);
      if (this.#nowMs % NEWS_DELAY_MS === 0) this.#exchange();
      for (const vm of this.#vms) {
        if (vm.waiting.size > 0) this.#apply(vm, { kind: "tick" });
      }
    }
    return this.#result(durationMs);
  }

  #result(durationMs: number): AdmissionResult {
    const seconds = (durationMs - WARM_UP_MS) / MS_PER_SECOND;
    const refusals = this.#refusalsMs.sort((a, b) => a - b);
    return {
      workspaces: this.#workspaces,
      priorities: this.#priorities,
      inTargetPerSecond: this.#inTargetCount / seconds,
      latePerSecond: this.#lateCount / seconds,
      refusalsPerSecond: refusals.length / seconds,
      medianRefusalMs: refusals[Math.floor(refusals.length / 2)] ?? 0,
      longestWaitMs: this.#longestWaitMs,
      eager: this.#eager,
      patient: this.#patient,
    };
  }

  #ask(): void {
    const { isEager = () => false, durationMs = 24_000 } = this.#play;
    const part = this.#random() * PARTS;
    const small = Math.min(SMALL_COUNT - 1, Math.floor(part - LARGE_PARTS));
    const workspace = part < LARGE_PARTS ? "large" : `small-${small}`;
    const caller: Caller = {
      id: `caller-${this.#callerCount++}`,
      workspace,
      priority: this.#random() < 0.5 ? 0 : 2,
      vm: this.#vmFor(small),
      isEager: isEager({ workspace }) && this.#random() < 0.5,
      firstAtMs: this.#nowMs,
      isCounted: this.#nowMs >= WARM_UP_MS &&
        this.#nowMs < durationMs - DEADLINE_MS,
      sentAtMs: this.#nowMs,
    };
    for (const tally of this.#talliesOf(caller)) tally.askedCount += 1;
    this.#arrive(caller);
  }

  /** A large workspace reaches all VMs, a small one a few. */
  #vmFor(small: number): number {
    const { vmCount } = this.#play;
    if (small < 0) return Math.floor(this.#random() * vmCount);
    const offset = Math.floor(this.#random() * SMALL_VM_COUNT);
    return (small * SMALL_VM_COUNT + offset) % vmCount;
  }

  #talliesOf(caller: Caller): CallerTally[] {
    if (!caller.isCounted) return [];
    return [
      tallyOf(this.#workspaces, caller.workspace),
      tallyOf(this.#priorities, caller.priority),
      caller.isEager ? this.#eager : this.#patient,
    ];
  }

  #comeBack(): void {
    const due = this.#returns.filter(({ atMs }) => atMs <= this.#nowMs);
    for (const one of due) {
      this.#returns.splice(this.#returns.indexOf(one), 1);
      this.#arrive(one.caller);
    }
  }

  #arrive(caller: Caller): void {
    const { isRunning = () => true } = this.#play;
    caller.sentAtMs = this.#nowMs;
    const running = this.#vms.filter(({ index }) =>
      isRunning(index, this.#nowMs)
    );
    const vm = running.find(({ index }) => index === caller.vm) ??
      running[Math.floor(this.#random() * running.length)];
    if (vm === undefined) return;
    vm.waiting.set(caller.id, caller);
    this.#apply(vm, {
      kind: "arrive",
      request: {
        requestId: caller.id,
        workspace: caller.workspace,
        priority: caller.priority,
        digest: caller.id,
        arrivedAtMs: this.#nowMs,
        targetMs: TARGET_MS,
        deadlineAtMs: caller.firstAtMs + DEADLINE_MS,
      },
    });
  }

  #apply(vm: PlayedVm, event: Parameters<typeof applyFleetAdmission>[1]): void {
    const nowMs = this.#nowMs;
    const others = vm.news !== undefined && nowMs - vm.news.atMs <= STALE_MS
      ? vm.news.use
      : undefined;
    const { state, effects } = this.#play.decide(vm.state, event, {
      nowMs,
      view: this.#viewOf(vm),
      others,
      random: this.#random,
    });
    vm.state = state;
    for (const effect of effects) {
      const caller = vm.waiting.get(effect.requestId);
      vm.waiting.delete(effect.requestId);
      if (caller === undefined) continue;
      if (effect.kind === "refuse") this.#refuse(caller, effect.retryAfterMs);
      else this.#send(vm, caller);
    }
  }

  #viewOf(vm: PlayedVm): CapacityView {
    let loadCount = 0;
    let freeCount = 0;
    for (const { id } of this.#servers) {
      const load = this.#loadOf(vm, id);
      loadCount += load;
      freeCount += Math.max(0, Math.floor(SLOT_COUNT - load));
    }
    return {
      slotCount: SLOT_COUNT * this.#servers.length,
      loadCount,
      freeCount,
      holdMs: vm.holdMs,
      answerMs: vm.holdMs,
      isKnown: true,
    };
  }

  #loadOf(vm: PlayedVm, id: string): number {
    const load = vm.loads.get(id);
    return Math.max(
      vm.inFlight.get(id) ?? 0,
      expectedRequestCount(load, this.#nowMs),
    );
  }

  /** As the gateway does: a full server's refusal leads to another server. */
  #send(vm: PlayedVm, caller: Caller): void {
    const waitedMs = this.#nowMs - caller.sentAtMs;
    this.#longestWaitMs = Math.max(this.#longestWaitMs, waitedMs);
    const tried = new Set<string>();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const server = this.#chooseServer(vm, tried);
      if (server === undefined) break;
      tried.add(server.id);
      const count = server.running.length + server.queue.length;
      if (count >= SLOT_COUNT + QUEUE_LIMIT) {
        this.#observe(vm, server);
        continue;
      }
      server.queue.push({ caller, vm, sentAtMs: this.#nowMs });
      vm.inFlight.set(server.id, (vm.inFlight.get(server.id) ?? 0) + 1);
      return;
    }
    this.#refuse(caller, 300 + this.#random() * 700);
  }

  #chooseServer(
    vm: PlayedVm,
    tried: ReadonlySet<string>,
  ): PlayedServer | undefined {
    const candidates = this.#servers.filter(({ id }) => !tried.has(id)).map(
      (server) => ({
        id: server.id,
        server,
        place: "khomas-a",
        loadCount: this.#loadOf(vm, server.id),
        slotCount: SLOT_COUNT,
        waitMs: 0,
        failureShare: 0,
        isSuspect: false,
      }),
    );
    return chooseBackend(candidates, {
      distanceMs: () => 0,
      loadStepMs: WORK_MS / SLOT_COUNT,
      workMs: WORK_MS,
      affinityKey: undefined,
      sharedTokens: 0,
      isRetriable: true,
      random: this.#random,
    })?.server;
  }

  #serve(server: PlayedServer): void {
    const ended = server.running.filter(({ endsAtMs }) =>
      endsAtMs <= this.#nowMs
    );
    for (const one of ended) {
      server.running.splice(server.running.indexOf(one), 1);
    }
    while (server.running.length < SLOT_COUNT) {
      const job = server.queue.shift();
      if (job === undefined) break;
      const endsAtMs = this.#nowMs + WORK_MS * (0.9 + 0.2 * this.#random());
      server.running.push({ job, endsAtMs });
    }
    for (const { job } of ended) this.#answer(server, job);
  }

  #answer(server: PlayedServer, { vm, caller, sentAtMs }: Job): void {
    vm.inFlight.set(server.id, (vm.inFlight.get(server.id) ?? 1) - 1);
    vm.holdMs = usualHoldMs(vm.holdMs, this.#nowMs - sentAtMs);
    this.#observe(vm, server);
    for (const tally of this.#talliesOf(caller)) tally.servedCount += 1;
    if (this.#nowMs >= WARM_UP_MS) {
      if (this.#nowMs - caller.sentAtMs <= TARGET_MS) this.#inTargetCount += 1;
      else this.#lateCount += 1;
    }
    if (vm.waiting.size > 0) this.#apply(vm, { kind: "tick" });
  }

  #observe(vm: PlayedVm, server: PlayedServer): void {
    vm.loads.set(server.id, {
      requestCount: server.running.length + server.queue.length,
      observedAtMs: this.#nowMs,
      hopCount: 0,
    });
  }

  #refuse(caller: Caller, retryAfterMs: number): void {
    if (this.#nowMs >= WARM_UP_MS) {
      this.#refusalsMs.push(this.#nowMs - caller.sentAtMs);
    }
    const leftMs = caller.firstAtMs + DEADLINE_MS - this.#nowMs;
    const delayMs = caller.isEager
      ? 2 * STEP_MS
      : Math.min(retryAfterMs, leftMs / 3);
    if (leftMs - delayMs < MIN_LEFT_MS) return;
    this.#returns.push({ atMs: this.#nowMs + delayMs, caller });
  }

  /** What a VM hears is as old as the exchange through two readers makes it. */
  #exchange(): void {
    const { isHeard = () => true } = this.#play;
    const nowMs = this.#nowMs;
    const heard = this.#vms.filter(({ index }) => isHeard(index, nowMs));
    const uses = heard.map((vm) => {
      const { use, waiting } = vm.state;
      const waitingCount = waiting.size;
      return useToShare(use, { service: SERVICE, waitingCount, nowMs });
    });
    const loads = new Map<string, LoadObservation>();
    for (const vm of heard) {
      for (const [id, load] of vm.loads) {
        loads.set(id, newerOf(loads.get(id), load));
      }
    }
    for (const [index, vm] of heard.entries()) {
      const others = uses.filter((_, other) => other !== index);
      if (others.length > 0) {
        vm.news = { atMs: nowMs, use: sumUse(SERVICE, others) };
      }
      for (const [id, load] of loads) {
        vm.loads.set(id, newerOf(vm.loads.get(id), load));
      }
    }
  }
}

function tallyOf<Key>(tallies: Map<Key, CallerTally>, key: Key): CallerTally {
  const tally = tallies.get(key) ?? { askedCount: 0, servedCount: 0 };
  tallies.set(key, tally);
  return tally;
}
