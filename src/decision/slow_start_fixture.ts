/**
 * A service of eight servers, one of which starts at time 0. Virtual time,
 * without a network. A request compares three random servers and takes the one
 * with the fewest requests of its VM. VMs tell a reader of their data centre
 * what they learn, and the readers tell each other in rotation.
 */
import { type Random } from "../model/mod.ts";
import {
  applyHealth,
  type BackendHealth,
  type HealthEvent,
  isPassing,
  UNKNOWN_HEALTH,
} from "./backend_health.ts";
import { seededRandom } from "./membership_fixture.ts";
import {
  advanceSlowStart,
  applySlowStart,
  type beginSlowStart,
  hasTurn,
  isLateAnswer,
  joinSlowStart,
  type SlowStart,
  slowStartLimit,
} from "./slow_start.ts";

const SERVER_COUNT = 8;
const SERVICE_MS = 50;
const STEP_MS = 5;
const DURATION_MS = 20_000;
/** Refusals, late answers and breaks count up to here. */
const COUNTED_MS = 5000;
/** The part of each server, from all VMs. */
const PART_PER_SECOND = 30;
const READER_COUNT = 6;
const VM_PERIOD_MS = 500;
const READER_PERIOD_MS = 200;
const WARM_UP_MS = 3000;
const SLOT_COUNT = 4;
const QUEUE_COUNT = 16;
const WARM_UP_SERVICE_MS = 800;
/** More than this in a second ends a fragile server that warms up. */
const FRAGILE_PER_SECOND = 12;
const RESTART_MS = 1000;

/** How the started server answers. */
export type StartedKind = "healthy" | "slow" | "fragile";

/** How a VM that learns of the start limits itself; undefined: not at all. */
export type SlowStartBegin = (
  options: Parameters<typeof beginSlowStart>[0],
) => SlowStart | undefined;

export interface SlowStartPlay {
  readonly firstSecondCount: number;
  readonly refusedCount: number;
  readonly lateCount: number;
  readonly brokenCount: number;
  readonly crashCount: number;
  /** End of the first second with 0.8 of its part answered in time. */
  readonly partAfterMs: number | undefined;
}

interface SentRequest {
  readonly vm: VirtualVm;
  readonly sentAtMs: number;
  endsAtMs: number;
}

interface VirtualVm {
  readonly index: number;
  health: BackendHealth;
  slowStart: SlowStart | undefined;
  /** The process whose start the VM has learned of. */
  process: number;
  inFlightCounts: number[];
}

/** The started server. */
class StartedServer {
  readonly #kind: StartedKind;
  running: SentRequest[] = [];
  waiting: SentRequest[] = [];
  arrivalsMs: number[] = [];
  startedAtMs = 0;
  process = 0;
  crashCount = 0;

  constructor(kind: StartedKind) {
    this.#kind = kind;
  }

  /** Takes a request; returns what becomes of it at once, if anything. */
  take(request: SentRequest, nowMs: number): "down" | "full" | "crash" | "ok" {
    if (nowMs < this.startedAtMs) return "down";
    this.arrivalsMs.push(nowMs);
    const isWarm = nowMs - this.startedAtMs >= WARM_UP_MS;
    const recentCount =
      this.arrivalsMs.filter((atMs) =>
        atMs > nowMs - 1000 && atMs >= this.startedAtMs
      ).length;
    if (
      this.#kind === "fragile" && !isWarm && recentCount > FRAGILE_PER_SECOND
    ) return "crash";
    if (this.waiting.length >= QUEUE_COUNT) return "full";
    this.waiting.push(request);
    this.serve(nowMs);
    return "ok";
  }

  /** Ends what is served and begins what waits; returns what ended. */
  serve(nowMs: number): SentRequest[] {
    const ended = this.running.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    this.running = this.running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    const isSlow = this.#kind === "slow" &&
      nowMs - this.startedAtMs < WARM_UP_MS;
    while (this.running.length < SLOT_COUNT) {
      const next = this.waiting.shift();
      if (next === undefined) break;
      next.endsAtMs = nowMs + (isSlow ? WARM_UP_SERVICE_MS : SERVICE_MS);
      this.running.push(next);
    }
    return ended;
  }

  /** Breaks all requests and starts again later. */
  crash(nowMs: number): SentRequest[] {
    const broken = [...this.running, ...this.waiting];
    this.running = [];
    this.waiting = [];
    this.startedAtMs = nowMs + RESTART_MS;
    this.process += 1;
    this.crashCount += 1;
    return broken;
  }
}

/** Plays the first 20 s of a started server. */
export function playSlowStart(
  { kind, vmCount, begin, seed, shares = true }: {
    readonly kind: StartedKind;
    readonly vmCount: number;
    readonly begin: SlowStartBegin;
    readonly seed: number;
    /** Whether VMs pass on what they learn. */
    readonly shares?: boolean;
  },
): SlowStartPlay {
  const random = seededRandom(seed);
  const server = new StartedServer(kind);
  const vms = Array.from({ length: vmCount }, (_, index): VirtualVm => ({
    index,
    health: UNKNOWN_HEALTH,
    slowStart: undefined,
    process: -1,
    inFlightCounts: Array.from({ length: SERVER_COUNT }, () => 0),
  }));
  const counts = { refused: 0, late: 0, broken: 0 };
  const answeredMs: number[] = [];
  const others: { vm: VirtualVm; server: number; endsAtMs: number }[] = [];
  const perStep = PART_PER_SECOND * SERVER_COUNT * STEP_MS / 1000;
  const end = (
    request: SentRequest,
    event: HealthEvent,
    nowMs: number,
  ): void => {
    const { vm, sentAtMs } = request;
    vm.inFlightCounts[0] = (vm.inFlightCounts[0] ?? 0) - 1;
    vm.health = applyHealth(vm.health, event, nowMs);
    const isLate = isLateAnswer(nowMs - sentAtMs, SERVICE_MS);
    if (event === "success" && !isLate) answeredMs.push(nowMs);
    if (nowMs < COUNTED_MS) {
      if (event === "full") counts.refused += 1;
      else if (event !== "success") counts.broken += 1;
      else if (isLate) counts.late += 1;
    }
    if (vm.slowStart === undefined) return;
    const outcome = event === "full"
      ? "refused"
      : event !== "success"
      ? "broke"
      : isLate
      ? "late"
      : "in_time";
    const time = { nowMs, vmCount };
    vm.slowStart = applySlowStart(
      vm.slowStart,
      { kind: outcome, sentAtMs },
      time,
    );
  };
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    const time = { nowMs, vmCount };
    for (const vm of vms) {
      if (vm.process === server.process || nowMs < server.startedAtMs) continue;
      vm.process = server.process;
      vm.health = UNKNOWN_HEALTH;
      vm.slowStart = begin({
        ...time,
        rank: vm.index,
        previous: vm.slowStart,
      });
    }
    for (const request of server.serve(nowMs)) end(request, "success", nowMs);
    for (let index = others.length - 1; index >= 0; index--) {
      const other = others[index];
      if (other === undefined || other.endsAtMs > nowMs) continue;
      const { inFlightCounts } = other.vm;
      inFlightCounts[other.server] = (inFlightCounts[other.server] ?? 0) - 1;
      others.splice(index, 1);
    }
    let newCount = Math.floor(perStep);
    if (random() < perStep - newCount) newCount += 1;
    for (let count = 0; count < newCount; count++) {
      const vm = vms[Math.floor(random() * vmCount)];
      if (vm === undefined) continue;
      const chosen = chooseOf(vm, { ...time, random });
      vm.inFlightCounts[chosen] = (vm.inFlightCounts[chosen] ?? 0) + 1;
      if (chosen !== 0) {
        others.push({ vm, server: chosen, endsAtMs: nowMs + SERVICE_MS });
        continue;
      }
      vm.health = applyHealth(vm.health, "probe_sent", nowMs);
      if (vm.slowStart !== undefined) {
        vm.slowStart = applySlowStart(vm.slowStart, { kind: "started" }, time);
      }
      const request: SentRequest = { vm, sentAtMs: nowMs, endsAtMs: Infinity };
      const taken = server.take(request, nowMs);
      if (taken === "full" || taken === "down") end(request, taken, nowMs);
      if (taken !== "crash") continue;
      end(request, "broken", nowMs);
      for (const broken of server.crash(nowMs)) end(broken, "broken", nowMs);
    }
    if (shares) exchange(vms, time);
  }
  return {
    firstSecondCount: server.arrivalsMs.filter((atMs) => atMs < 1000).length,
    refusedCount: counts.refused,
    lateCount: counts.late,
    brokenCount: counts.broken,
    crashCount: server.crashCount,
    partAfterMs: partAfterMs(answeredMs),
  };
}

function chooseOf(
  vm: VirtualVm,
  { nowMs, vmCount, random }: {
    readonly nowMs: number;
    readonly vmCount: number;
    readonly random: Random;
  },
): number {
  let best = 1;
  let bestCount = Infinity;
  const ids = Array.from({ length: SERVER_COUNT }, (_, index) => index);
  for (let count = 0; count < 3; count++) {
    const [id] = ids.splice(Math.floor(random() * ids.length), 1);
    if (id === undefined) continue;
    if (id === 0 && !isOpen(vm, { nowMs, vmCount })) continue;
    const inFlightCount = vm.inFlightCounts[id] ?? 0;
    if (inFlightCount >= bestCount) continue;
    best = id;
    bestCount = inFlightCount;
  }
  return best;
}

function isOpen(
  vm: VirtualVm,
  time: { readonly nowMs: number; readonly vmCount: number },
): boolean {
  if (!isPassing(vm.health, time.nowMs)) return false;
  if (vm.slowStart === undefined) return true;
  vm.slowStart = advanceSlowStart(vm.slowStart, time);
  if (vm.slowStart.isEnded) return true;
  const limit = slowStartLimit(vm.slowStart, { ...time, holdMs: SERVICE_MS });
  const isFull = (vm.inFlightCounts[0] ?? 0) >= limit.inFlightCount;
  if (hasTurn(vm.slowStart) && !isFull) return true;
  vm.slowStart = applySlowStart(vm.slowStart, { kind: "limited" }, time);
  return false;
}

/** Exchanges due at this time: VMs with their reader, readers in rotation. */
function exchange(
  vms: readonly VirtualVm[],
  time: { readonly nowMs: number; readonly vmCount: number },
): void {
  const { nowMs } = time;
  for (const vm of vms) {
    const isReader = vm.index < READER_COUNT;
    const periodMs = isReader ? READER_PERIOD_MS : VM_PERIOD_MS;
    const phaseMs = vm.index * 35 % periodMs;
    if ((nowMs - phaseMs) % periodMs !== 0) continue;
    const round = Math.floor(nowMs / periodMs);
    const readerCount = Math.min(READER_COUNT, vms.length);
    const partner = isReader
      ? vms[(vm.index + 1 + round % Math.max(1, readerCount - 1)) % readerCount]
      : vms[vm.index % READER_COUNT];
    if (partner === undefined || partner === vm) continue;
    if (partner.process !== vm.process) continue;
    const [own, other] = [vm.slowStart, partner.slowStart];
    if (own === undefined || other === undefined) continue;
    vm.slowStart = joinSlowStart(own, other, time);
    partner.slowStart = joinSlowStart(other, own, time);
  }
}

function partAfterMs(answeredMs: readonly number[]): number | undefined {
  for (let endMs = 1000; endMs < DURATION_MS; endMs += 100) {
    const count = answeredMs.filter((atMs) =>
      atMs >= endMs - 1000 && atMs < endMs
    ).length;
    if (count >= 0.8 * PART_PER_SECOND) return endMs;
  }
  return undefined;
}
