/**
 * The order in which waiting requests are admitted: urgent classes first, with
 * the order of classes reversed at every eighth grant, and workspaces by weight
 * within a class. Less urgent classes may use only a share of the slots, so
 * that a lookup finds a free slot instead of waiting for a long answer to end.
 */
import { type List, type Map as PersistentMap } from "immutable";
import {
  REQUEST_CLASSES,
  type RequestClass,
  type SettingsPath,
} from "../model/mod.ts";

/** A request to be admitted. */
export interface Arrival {
  readonly requestId: string;
  readonly workspace: SettingsPath;
  readonly requestClass: RequestClass;
  /** Weight of its workspace in fair queueing. */
  readonly fairWeight: number;
  /** Maximum number of concurrent requests of its workspace on this VM. */
  readonly maxConcurrent: number;
  /** Latest useful start time. */
  readonly startByMs: number;
}

/** An admitted request. */
export interface RunningRequest {
  readonly arrival: Arrival;
  readonly startedAtMs: number;
}

/** The state of start-time fair queueing; immutable. */
export interface FairQueue {
  /** Virtual finish time of each workspace's newest admitted request. */
  readonly virtualFinishTimes: PersistentMap<string, number>;
  readonly virtualTime: number;
}

/** Running and waiting requests, and the state of fair queueing. */
export interface AdmissionState extends FairQueue {
  readonly runningLimit: number;
  readonly running: PersistentMap<string, RunningRequest>;
  readonly waiting: List<Arrival>;
  readonly grantCount: number;
  /** Exponentially smoothed run time of requests. */
  readonly meanRunMs: number;
}

const GRANTS_PER_REVERSAL = 8;

/** Share of the slots that a class and all less urgent ones may use. */
const SLOT_SHARES: Readonly<Record<RequestClass, number>> = {
  lookup: 1,
  tagging: 0.95,
  drafting: 0.85,
  review: 0.5,
};

/** Returns the waiting request to admit next, if any is eligible. */
export function nextArrival(state: AdmissionState): Arrival | undefined {
  if (state.waiting.isEmpty()) return undefined;
  const classes = isReversedGrant(state.grantCount)
    ? REQUEST_CLASSES.toReversed()
    : REQUEST_CLASSES;
  for (const requestClass of classes) {
    if (!hasSlot(state, requestClass)) continue;
    const next = fairestArrival(state, requestClass);
    if (next !== undefined) return next;
  }
  return undefined;
}

/** Whether the next grant goes to the least urgent kind that waits. */
export function isReversedGrant(grantCount: number): boolean {
  return grantCount % GRANTS_PER_REVERSAL === GRANTS_PER_REVERSAL - 1;
}

function hasSlot(state: AdmissionState, requestClass: RequestClass): boolean {
  const rank = REQUEST_CLASSES.indexOf(requestClass);
  const usedCount = state.running.count((run) =>
    REQUEST_CLASSES.indexOf(run.arrival.requestClass) >= rank
  );
  const slotCount = state.runningLimit * SLOT_SHARES[requestClass];
  return usedCount < Math.max(1, Math.floor(slotCount));
}

function fairestArrival(
  state: AdmissionState,
  requestClass: RequestClass,
): Arrival | undefined {
  let best: Arrival | undefined;
  let bestStart = Infinity;
  for (const arrival of state.waiting) {
    if (arrival.requestClass !== requestClass) continue;
    if (runningCountOf(state, arrival.workspace) >= arrival.maxConcurrent) {
      continue;
    }
    const start = virtualStartOf(state, arrival.workspace);
    if (start >= bestStart) continue;
    best = arrival;
    bestStart = start;
  }
  return best;
}

function runningCountOf(
  state: AdmissionState,
  workspace: SettingsPath,
): number {
  return state.running.count((run) => run.arrival.workspace === workspace);
}

/** Virtual start time of a workspace's next request. */
export function virtualStartOf(queue: FairQueue, workspace: string): number {
  return Math.max(
    queue.virtualTime,
    queue.virtualFinishTimes.get(workspace) ?? 0,
  );
}

/** Drops finish times up to `virtualTime`, which no longer affect the start. */
export function prunedFinishTimes(
  queue: FairQueue,
  virtualTime: number,
): PersistentMap<string, number> {
  return queue.virtualFinishTimes.filter((finish) => finish > virtualTime);
}

/** Returns the queue after a request of a workspace started. */
export function advanceFairQueue(
  queue: FairQueue,
  { workspace, cost }: { readonly workspace: string; readonly cost: number },
): FairQueue {
  const start = virtualStartOf(queue, workspace);
  return {
    virtualTime: start,
    virtualFinishTimes: prunedFinishTimes(queue, start)
      .set(workspace, start + cost),
  };
}
