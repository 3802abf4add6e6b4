/**
 * How much each workspace uses a service: requests asked for, started and
 * refused a second, as rates that decay with time. VMs send each other sums of
 * these rates, so that a workspace's share is that of all VMs together, however
 * many of them it reaches.
 */
import { Map as PersistentMap } from "immutable";

/** The rates of one workspace at one service. */
export interface UseRates {
  readonly askedPerSecond: number;
  readonly startedPerSecond: number;
  readonly refusedPerSecond: number;
}

/** What is counted of a workspace. */
export type UseKind = "asked" | "started" | "refused";

interface DecayingRates extends UseRates {
  readonly atMs: number;
}

/** Rates by workspace; immutable. */
export type WorkspaceUse = PersistentMap<string, DecayingRates>;

/** What other VMs report of a service, summed. */
export interface SharedUse {
  readonly service: string;
  readonly waitingCount: number;
  readonly workspaces: readonly (UseRates & { readonly name: string })[];
}

export const NO_USE: WorkspaceUse = PersistentMap();

const NO_RATES: UseRates = {
  askedPerSecond: 0,
  startedPerSecond: 0,
  refusedPerSecond: 0,
};
/** The time over which rates are averaged. */
const AVERAGE_MS = 2000;
const MS_PER_SECOND = 1000;
/** Below this rate a workspace counts as gone. */
const NEGLIGIBLE_PER_SECOND = 0.02;
/** Bounds a message, whatever the number of workspaces. */
export const MAX_SHARED_WORKSPACES = 16;
/** Bounds the memory of a VM with very many workspaces. */
const MAX_COUNTED_WORKSPACES = 512;

/** Counts one event of a workspace. */
export function countUse(
  use: WorkspaceUse,
  { name, kind, nowMs }: {
    readonly name: string;
    readonly kind: UseKind;
    readonly nowMs: number;
  },
): WorkspaceUse {
  const key = `${kind}PerSecond` as const;
  const rates = ratesOf(use, name, nowMs);
  const step = MS_PER_SECOND / AVERAGE_MS;
  const next = { ...rates, [key]: rates[key] + step, atMs: nowMs };
  if (use.has(name) || use.size < MAX_COUNTED_WORKSPACES) {
    return use.set(name, next);
  }
  return withoutIdle(use, nowMs).set(name, next).takeLast(
    MAX_COUNTED_WORKSPACES,
  );
}

/** Returns the rates of a workspace at this VM. */
export function ratesOf(
  use: WorkspaceUse,
  name: string,
  nowMs: number,
): UseRates {
  const rates = use.get(name);
  if (rates === undefined) return NO_RATES;
  return scaled(rates, Math.exp((rates.atMs - nowMs) / AVERAGE_MS));
}

/** Drops the workspaces that ask for nothing any more. */
export function withoutIdle(use: WorkspaceUse, nowMs: number): WorkspaceUse {
  return use.filter((_, name) => !isIdle(ratesOf(use, name, nowMs)));
}

/** Returns the use of several VMs together, the most used workspaces first. */
export function sumUse(
  service: string,
  parts: readonly SharedUse[],
): SharedUse {
  const sums = new Map<string, UseRates>();
  let waitingCount = 0;
  for (const part of parts) {
    if (part.service !== service) continue;
    waitingCount += part.waitingCount;
    for (const { name, ...rates } of part.workspaces) {
      sums.set(name, added(sums.get(name) ?? NO_RATES, rates));
    }
  }
  const workspaces = [...sums].map(([name, rates]) => ({ name, ...rates }))
    .sort((a, b) => b.askedPerSecond - a.askedPerSecond)
    .slice(0, MAX_SHARED_WORKSPACES);
  return { service, waitingCount, workspaces };
}

/** Returns what this VM itself reports of a service. */
export function useToShare(
  use: WorkspaceUse,
  { service, waitingCount, nowMs }: {
    readonly service: string;
    readonly waitingCount: number;
    readonly nowMs: number;
  },
): SharedUse {
  const workspaces = [];
  for (const name of use.keys()) {
    const rates = ratesOf(use, name, nowMs);
    if (!isIdle(rates)) workspaces.push({ name, ...rates });
  }
  return sumUse(service, [{ service, waitingCount, workspaces }]);
}

/**
 * Divides a capacity among workspaces: each gets what it asks for, up to an
 * equal share of what the ones that ask for less leave (max-min fair).
 */
export function fairRates(
  capacityPerSecond: number,
  asked: ReadonlyMap<string, number>,
): Map<string, number> {
  const rates = new Map<string, number>();
  let left = capacityPerSecond;
  let count = asked.size;
  for (const [name, rate] of [...asked].sort(([, a], [, b]) => a - b)) {
    const fair = Math.min(rate, left / count);
    rates.set(name, fair);
    left -= fair;
    count -= 1;
  }
  return rates;
}

function isIdle(rates: UseRates): boolean {
  return Math.max(rates.askedPerSecond, rates.startedPerSecond) <
    NEGLIGIBLE_PER_SECOND;
}

function scaled(rates: UseRates, factor: number): UseRates {
  return {
    askedPerSecond: rates.askedPerSecond * factor,
    startedPerSecond: rates.startedPerSecond * factor,
    refusedPerSecond: rates.refusedPerSecond * factor,
  };
}

function added(a: UseRates, b: UseRates): UseRates {
  return {
    askedPerSecond: a.askedPerSecond + b.askedPerSecond,
    startedPerSecond: a.startedPerSecond + b.startedPerSecond,
    refusedPerSecond: a.refusedPerSecond + b.refusedPerSecond,
  };
}
