/**
 * Policies that pick among scored servers: the one in use, and baselines for
 * measurements.
 */
import { estimateLoad } from "./load.ts";
import {
  type RouteContext,
  type RoutePolicy,
  type ScoredServer,
} from "./route.ts";

/**
 * Picks the better of two random candidates among the best (power of two
 * choices), so that VMs with the same outdated reports don't all choose one
 * server.
 */
export function twoChoices(
  candidates: readonly ScoredServer[],
  context: RouteContext,
): ScoredServer {
  const boundMs = lowest(candidates, scoreOf).scoreMs +
    context.weights.toleranceMs;
  const near = candidates.filter((candidate) => candidate.scoreMs <= boundMs);
  const pair = [pickRandom(near, context), pickRandom(near, context)];
  return lowest(pair, scoreOf);
}

/** Baseline: a random candidate. */
export function randomChoice(
  candidates: readonly ScoredServer[],
  context: RouteContext,
): ScoredServer {
  return pickRandom(candidates, context);
}

/** Baseline: the candidates in round-robin order. */
export function createRoundRobin(): RoutePolicy {
  let callCount = 0;
  return (candidates) => {
    const sorted = [...candidates].sort((a, b) =>
      a.view.server < b.view.server ? -1 : 1
    );
    callCount += 1;
    return at(sorted, callCount % sorted.length);
  };
}

/** Baseline: the lowest load, from reports only. */
export function leastReportedLoad(
  candidates: readonly ScoredServer[],
  context: RouteContext,
): ScoredServer {
  return lowest(candidates, (candidate) => {
    const view = { report: candidate.view.report, ownInFlightCount: 0 };
    return estimateLoad(view, context).loadShare;
  });
}

function scoreOf(candidate: ScoredServer): number {
  return candidate.scoreMs;
}

function lowest(
  candidates: readonly ScoredServer[],
  valueOf: (candidate: ScoredServer) => number,
): ScoredServer {
  let best = at(candidates, 0);
  let bestValue = valueOf(best);
  for (const candidate of candidates) {
    const value = valueOf(candidate);
    if (value >= bestValue) continue;
    best = candidate;
    bestValue = value;
  }
  return best;
}

function pickRandom(
  candidates: readonly ScoredServer[],
  context: RouteContext,
): ScoredServer {
  return at(candidates, Math.floor(context.random() * candidates.length));
}

function at(candidates: readonly ScoredServer[], index: number): ScoredServer {
  const found = candidates[index];
  if (found === undefined) throw new RangeError("a policy needs a candidate");
  return found;
}
