/**
 * Plays VMs and backend servers of which some end and come back cold at once,
 * in virtual time. A VM sends each request to a random server that it may use
 * and that it reached lately; what VMs know of cold servers and the servers' new
 * entries reach them late or not at all.
 */
import { type LimitedVm } from "../../decision/mod.ts";
import { serverOf, serviceTraitsOf } from "../../decision/manifest_fixture.ts";
import { seededRandom } from "../../decision/membership_fixture.ts";
import { limitedVmsOf } from "../../decision/divided_play_fixture.ts";
import { type BackendServer, silentLogger } from "../../model/mod.ts";
import { ColdServers } from "./cold_servers.ts";

const STEP_MS = 2;
const WORK_MS = 20;
/** One way between a VM and a server: the same place or another region. */
const WAY_MS = { near: 1, far: 12 } as const;
const EXCHANGE_MS = 400;
/** A VM sends nothing to a server for this long after it did not reach it. */
const SUSPECT_MS = 500;
const HOPS = { maxHopCount: 2 } as const;
export const COLD_START_MS = 3000;
/** When the servers end, and when they are back. */
const [END_AT_MS, BACK_AT_MS] = [1000, 3000];

/** What is played. */
export interface ColdPlay {
  readonly seed: number;
  readonly vmCount: number;
  readonly serverCount: number;
  /** How many of the servers come back cold. */
  readonly coldCount: number;
  readonly coldPerSecond: number;
  readonly requestsPerSecond: number;
  /** Share of the exchanges between VMs that are lost. */
  readonly lossShare: number;
  /** Most time until a VM knows the new entry of a server. */
  readonly entryDelayMs: number;
}

/** What came of it. */
export interface ColdResult {
  /** Times since the start of each cold server at which requests arrived. */
  readonly arrivalsMs: readonly (readonly number[])[];
  /** Requests that no VM could send anywhere. */
  readonly refusedCount: number;
  readonly sentCount: number;
}

interface Vm {
  readonly self: LimitedVm;
  readonly cold: ColdServers;
  readonly suspectUntilMs: Map<string, number>;
  servers: readonly BackendServer[];
}

type Task = () => void;

/** Plays until the servers are no longer cold. */
export function playCold(play: ColdPlay): ColdResult {
  const random = seededRandom(play.seed);
  let nowMs = 0;
  const tasks = new Map<number, Task[]>();
  const later = (delayMs: number, task: Task): void => {
    const atMs = Math.ceil((nowMs + delayMs) / STEP_MS) * STEP_MS;
    tasks.set(atMs, [...tasks.get(atMs) ?? [], task]);
  };
  const traits = serviceTraitsOf("drafting", {
    coldPerSecond: play.coldPerSecond,
    coldStartMs: COLD_START_MS,
  });
  const selves = limitedVmsOf(play.vmCount);
  const servers = Array.from(
    { length: play.serverCount },
    (_, index) =>
      serverOf(`server-${index}`, {
        place: selves[index % Math.min(3, selves.length)]?.place ?? "",
      }),
  );
  const vms = selves.map((self): Vm => ({
    self,
    cold: new ColdServers({
      vms: () => ({ self, others: selves.filter((vm) => vm !== self) }),
      traitsOf: () => traits,
      bound: { ratio: 1.5, slackCount: 5 },
      clock: () => nowMs,
      logger: silentLogger,
    }),
    suspectUntilMs: new Map(),
    servers,
  }));
  const coldIds = servers.slice(0, play.coldCount).map(({ id }) => id);
  const arrivalsMs = new Map(coldIds.map((id) => [id, [] as number[]]));
  const isDown = (id: string): boolean =>
    arrivalsMs.has(id) && nowMs >= END_AT_MS && nowMs < BACK_AT_MS;
  let refusedCount = 0;
  let sentCount = 0;

  const send = (vm: Vm): void => {
    const open = vm.servers.filter((server) =>
      vm.cold.waitMs(server) === 0 &&
      (vm.suspectUntilMs.get(server.id) ?? 0) <= nowMs
    );
    const server = open[Math.floor(random() * open.length)];
    sentCount += 1;
    if (server === undefined) {
      refusedCount += 1;
      return;
    }
    vm.cold.countRequest(server);
    const sentAtMs = nowMs;
    const wayMs = server.place === vm.self.place ? WAY_MS.near : WAY_MS.far;
    later(wayMs, () => {
      if (isDown(server.id)) return later(wayMs, () => fail(vm, server));
      if (nowMs >= BACK_AT_MS) {
        arrivalsMs.get(server.id)?.push(nowMs - BACK_AT_MS);
      }
      later(WORK_MS, () => {
        if (isDown(server.id)) return vm.cold.recordBreak(server);
        later(wayMs, () =>
          vm.cold.recordAnswer(server, {
            coldLeftMs: undefined,
            sentAtMs,
          }));
      });
    });
  };
  const fail = (vm: Vm, server: BackendServer): void => {
    vm.cold.recordUnreached(server);
    vm.suspectUntilMs.set(server.id, nowMs + SUSPECT_MS);
  };
  const exchange = (vm: Vm): void => {
    const other = vms[Math.floor(random() * vms.length)];
    if (other === undefined || random() < play.lossShare) return;
    other.cold.merge(vm.cold.toShare(HOPS));
    if (random() < play.lossShare) return;
    vm.cold.merge(other.cold.toShare(HOPS));
  };
  const renew = (vm: Vm): void => {
    vm.servers = vm.servers.map((server) =>
      arrivalsMs.has(server.id)
        ? {
          ...server,
          processStartedAtMs: BACK_AT_MS,
          coldLeftMs: COLD_START_MS,
        }
        : server
    );
    vm.cold.recordEntries(vm.servers);
  };

  for (const vm of vms) {
    vm.cold.recordEntries(servers);
    const exchangeEvery = (): void => {
      exchange(vm);
      later(EXCHANGE_MS, exchangeEvery);
    };
    later(random() * EXCHANGE_MS, exchangeEvery);
    later(BACK_AT_MS + random() * play.entryDelayMs, () => renew(vm));
  }
  const sendsPerStep = play.requestsPerSecond * STEP_MS / 1000;
  let due = 0;
  const endMs = BACK_AT_MS + COLD_START_MS;
  for (nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    for (const task of tasks.get(nowMs) ?? []) task();
    tasks.delete(nowMs);
    due += sendsPerStep * 2 * random();
    for (; due >= 1; due -= 1) {
      const vm = vms[Math.floor(random() * vms.length)];
      if (vm !== undefined) send(vm);
    }
  }
  return { arrivalsMs: [...arrivalsMs.values()], refusedCount, sentCount };
}
