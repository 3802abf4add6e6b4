/**
 * A load of many VMs with rare traffic each: every VM sends a request about
 * once a second to one of the servers of its data centre, some of which are
 * slow. Virtual time, without a network. Servers serve one request after the
 * other, and an answer states how many were there when the request began.
 */
import { type Random } from "../model/mod.ts";
import { type BackendCandidate, type ChoiceQuery } from "./backend_choice.ts";
import { seededRandom } from "./membership_fixture.ts";
import { expectedRequestCount, type LoadObservation } from "./shared_load.ts";
import { newerOf } from "./shared_observation.ts";

const VM_COUNT = 33;
const SERVER_COUNT = 10;
const STEP_MS = 5;
const DURATION_MS = 60_000;
const REQUESTS_PER_S = 33;
/** Together the servers carry the load with a fifth to spare. */
const FAST_MS = 180;
const SLOW_MS = 500;
const TARGET_MS = 2000;
const LOAD_STEP_MS = 40;

interface QueuedRequest {
  readonly vm: number;
  readonly sentAtMs: number;
}

interface SimulatedServer {
  readonly id: string;
  readonly serviceMs: number;
  readonly queue: QueuedRequest[];
  freeAtMs: number;
}

type Knowledge = Map<string, LoadObservation>;

/** What became of the requests. */
export interface RareTrafficResult {
  readonly requestCount: number;
  /** Requests that began later than their target. */
  readonly lateCount: number;
}

/** Chooses one of the candidates for a request. */
export type ServerChoice = <Candidate extends BackendCandidate>(
  candidates: readonly Candidate[],
  query: ChoiceQuery,
) => Candidate | undefined;

/** Plays the load; without a period, VMs know their own answers only. */
export function playRareTraffic(options: {
  readonly seed: number;
  readonly sharePeriodMs: number | undefined;
  readonly choose: ServerChoice;
}): RareTrafficResult {
  const { sharePeriodMs, choose } = options;
  const random = seededRandom(options.seed);
  const servers = Array.from({ length: SERVER_COUNT }, serverOf);
  const views = Array.from({ length: VM_COUNT }, (): Knowledge => new Map());
  let requestCount = 0;
  let lateCount = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    if (random() < REQUESTS_PER_S * STEP_MS / 1000) {
      const vm = Math.floor(random() * VM_COUNT);
      const chosen = chooseServerOf(servers, views[vm] ?? new Map(), {
        nowMs,
        random,
        choose,
      });
      chosen.queue.push({ vm, sentAtMs: nowMs });
      requestCount += 1;
    }
    for (const server of servers) {
      lateCount += serve(server, views, nowMs) ? 1 : 0;
    }
    if (sharePeriodMs !== undefined && nowMs % sharePeriodMs === 0) {
      share(views);
    }
  }
  return { requestCount, lateCount };
}

function serverOf(_: unknown, index: number): SimulatedServer {
  const serviceMs = index % 3 === 0 ? SLOW_MS : FAST_MS;
  return { id: `server-${index}`, serviceMs, queue: [], freeAtMs: 0 };
}

function chooseServerOf(
  servers: readonly SimulatedServer[],
  view: Knowledge,
  { nowMs, random, choose }: {
    readonly nowMs: number;
    readonly random: Random;
    readonly choose: ServerChoice;
  },
): SimulatedServer {
  const candidates = servers.map((server) => ({
    ...candidateOf(server.id),
    server,
    loadCount: expectedRequestCount(view.get(server.id), nowMs),
  }));
  const chosen = choose(candidates, {
    distanceMs: () => 0,
    loadStepMs: LOAD_STEP_MS,
    workMs: FAST_MS,
    affinityKey: undefined,
    sharedTokens: 0,
    isRetriable: true,
    random,
  });
  return (chosen ?? candidates[0])?.server as SimulatedServer;
}

function candidateOf(id: string): BackendCandidate {
  return {
    id,
    place: "khomas-a",
    loadCount: 0,
    slotCount: 32,
    waitMs: 0,
    failureShare: 0,
    isSuspect: false,
  };
}

/** Begins the next request; returns whether that is late. */
function serve(
  server: SimulatedServer,
  views: readonly Knowledge[],
  nowMs: number,
): boolean {
  if (nowMs < server.freeAtMs) return false;
  const requestCount = server.queue.length;
  const request = server.queue.shift();
  if (request === undefined) return false;
  server.freeAtMs = nowMs + server.serviceMs;
  const load = { requestCount, observedAtMs: nowMs, hopCount: 0 };
  views[request.vm]?.set(server.id, load);
  return nowMs - request.sentAtMs > TARGET_MS;
}

/** Every VM learns the newest observations of all. */
function share(views: readonly Knowledge[]): void {
  const newest: Knowledge = new Map();
  for (const view of views) {
    for (const [id, load] of view) {
      newest.set(id, newerOf(newest.get(id), load));
    }
  }
  for (const view of views) {
    for (const [id, load] of newest) view.set(id, load);
  }
}
