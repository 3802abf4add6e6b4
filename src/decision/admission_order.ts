/**
 * The order in which waiting requests are let in: urgent classes first, with
 * every eighth grant reversed, and workspaces by weight within a class. Classes
 * that are less urgent may fill only a share of the places, so that a lookup
 * finds one free and need not wait for a long answer to end.
 */
import { type List, type Map as PersistentMap } from "immutable";
import {
  REQUEST_CLASSES,
  type RequestClass,
  type SettingsPath,
} from "../model/mod.ts";

/** A request that asks to be let in. */
export interface Arrival {
  readonly requestId: string;
  readonly workspace: SettingsPath;
  readonly requestClass: RequestClass;
  /** Share of its workspace against the others. */
  readonly fairWeight: number;
  /** Most requests of the workspace at once on this VM. */
  readonly maxConcurrent: number;
  /** The latest time at which starting it is any use. */
  readonly startByMs: number;
}

/** A request that was let in. */
export interface Running {
  readonly arrival: Arrival;
  readonly startedAtMs: number;
}

/** Who runs, who waits, and how fast work has been leaving. */
export interface AdmissionState {
  readonly runningLimit: number;
  readonly running: PersistentMap<string, Running>;
  readonly waiting: List<Arrival>;
  /** Virtual time each workspace has used up. */
  readonly virtualFinishTimes: PersistentMap<SettingsPath, number>;
  readonly virtualTime: number;
  readonly grantCount: number;
  /** Smoothed time that a request runs. */
  readonly meanRunMs: number;
}

const GRANTS_PER_REVERSED_TURN = 8;

/** Share of the places that a class and all less urgent ones may fill. */
const PLACE_SHARES: Readonly<Record<RequestClass, number>> = {
  lookup: 1,
  tagging: 0.95,
  drafting: 0.85,
  review: 0.5,
};

/** The waiting request that is let in next, if any may be. */
export function nextArrival(state: AdmissionState): Arrival | undefined {
  if (state.waiting.isEmpty()) return undefined;
  const isReversed = state.grantCount % GRANTS_PER_REVERSED_TURN ===
    GRANTS_PER_REVERSED_TURN - 1;
  const classes = isReversed ? REQUEST_CLASSES.toReversed() : REQUEST_CLASSES;
  for (const requestClass of classes) {
    if (!hasPlace(state, requestClass)) continue;
    const next = fairest(state, requestClass);
    if (next !== undefined) return next;
  }
  return undefined;
}

function hasPlace(state: AdmissionState, requestClass: RequestClass): boolean {
  const rank = REQUEST_CLASSES.indexOf(requestClass);
  const usedCount = state.running.count((run) =>
    REQUEST_CLASSES.indexOf(run.arrival.requestClass) >= rank
  );
  const placeCount = state.runningLimit * PLACE_SHARES[requestClass];
  return usedCount < Math.max(1, Math.floor(placeCount));
}

function fairest(
  state: AdmissionState,
  requestClass: RequestClass,
): Arrival | undefined {
  let best: Arrival | undefined;
  let bestShare = Infinity;
  for (const arrival of state.waiting) {
    if (arrival.requestClass !== requestClass) continue;
    if (runningCountOf(state, arrival.workspace) >= arrival.maxConcurrent) {
      continue;
    }
    const share = virtualStartOf(state, arrival.workspace);
    if (share >= bestShare) continue;
    best = arrival;
    bestShare = share;
  }
  return best;
}

function runningCountOf(
  state: AdmissionState,
  workspace: SettingsPath,
): number {
  return state.running.count((run) => run.arrival.workspace === workspace);
}

/** The virtual time at which a workspace's next request starts. */
export function virtualStartOf(
  state: AdmissionState,
  workspace: SettingsPath,
): number {
  return Math.max(
    state.virtualTime,
    state.virtualFinishTimes.get(workspace) ?? 0,
  );
}

/** Drops workspaces that have fallen behind: they start at virtual time. */
export function prunedFinishTimes(
  state: AdmissionState,
  virtualTime: number,
): PersistentMap<SettingsPath, number> {
  return state.virtualFinishTimes.filter((share) => share > virtualTime);
}
