/**
 * Plans which versions the engines load and unload. Orders are idempotent, and
 * each plan starts from the engines' reports, so an order whose reply was lost
 * is recognised as done. A version in use keeps at least one serving engine. A
 * version that no path may use is unloaded once its running answers have had
 * time to finish. A version with too few engines is loaded where memory and
 * load allow, a few engines at a time because the weight store is slow.
 */
import { type VersionName } from "../model/mod.ts";

/** The state that one engine reports. */
export interface EngineView {
  readonly server: string;
  readonly place: string;
  readonly loaded: readonly VersionName[];
  readonly loading: readonly VersionName[];
  readonly memoryMb: number;
  readonly usedMemoryMb: number;
  /** Running and queued requests per slot. */
  readonly loadShare: number;
  readonly isServing: boolean;
}

/** Whether a version is needed, and the memory that it takes. */
export interface VersionDemand {
  readonly version: VersionName;
  readonly memoryMb: number;
  /** Whether any path of the settings tree may use it. */
  readonly isUsable: boolean;
  /** Whether every request begun while it was usable has had time to end. */
  readonly isIdle: boolean;
}

export interface PlacementOrder {
  readonly kind: "load" | "unload";
  readonly server: string;
  readonly version: VersionName;
}

export interface PlacementInput {
  readonly engines: readonly EngineView[];
  readonly demands: readonly VersionDemand[];
  /** Concurrent loads that the weight store can serve. */
  readonly maxLoading: number;
}

/** Minimum number of engines that each version in use should have. */
export const MIN_ENGINES = 2;
/** Mean load of a version's engines above which another one loads it. */
export const HIGH_LOAD_SHARE = 0.8;

/** Returns the orders that move the engines towards the demands. */
export function planPlacement(input: PlacementInput): PlacementOrder[] {
  const orders: PlacementOrder[] = [];
  let loadingCount = 0;
  for (const engine of input.engines) loadingCount += engine.loading.length;
  for (const demand of input.demands) {
    if (!demand.isUsable) {
      if (demand.isIdle) orders.push(...unloadOrders(demand, input.engines));
      continue;
    }
    if (loadingCount >= input.maxLoading) continue;
    if (!needsEngine(demand, input.engines)) continue;
    const target = leastLoadedEngine(demand, {
      engines: input.engines,
      orders,
    });
    if (target === undefined) continue;
    loadingCount += 1;
    const { server } = target;
    orders.push({ kind: "load", server, version: demand.version });
  }
  return orders;
}

/**
 * Whether an unload would remove the last serving engine of a version in use.
 * Checked again with the latest reports just before the order is sent.
 */
export function isLastOfVersion(
  order: PlacementOrder,
  input: PlacementInput,
): boolean {
  const demand = input.demands.find((item) => item.version === order.version);
  if (order.kind !== "unload" || demand?.isUsable !== true) return false;
  return !input.engines.some((engine) =>
    engine.server !== order.server && engine.isServing &&
    engine.loaded.includes(order.version)
  );
}

function unloadOrders(
  demand: VersionDemand,
  engines: readonly EngineView[],
): PlacementOrder[] {
  const { version } = demand;
  return engines
    .filter((engine) => engine.loaded.includes(version))
    .map(({ server }) => ({ kind: "unload", server, version }));
}

function needsEngine(
  demand: VersionDemand,
  engines: readonly EngineView[],
): boolean {
  const { version } = demand;
  if (engines.some((engine) => engine.loading.includes(version))) return false;
  const holders = engines.filter((engine) =>
    engine.isServing && engine.loaded.includes(version)
  );
  if (holders.length < MIN_ENGINES) return true;
  let loadShare = 0;
  for (const holder of holders) loadShare += holder.loadShare / holders.length;
  return loadShare > HIGH_LOAD_SHARE;
}

/** Least loaded engine with free memory; prefers places without the version. */
function leastLoadedEngine(
  demand: VersionDemand,
  options: {
    readonly engines: readonly EngineView[];
    readonly orders: readonly PlacementOrder[];
  },
): EngineView | undefined {
  const { engines, orders } = options;
  const placesWithVersion = new Set(
    engines.filter((engine) => engine.loaded.includes(demand.version))
      .map((engine) => engine.place),
  );
  const free = engines.filter((engine) =>
    engine.isServing && !engine.loaded.includes(demand.version) &&
    !orders.some((order) => order.server === engine.server) &&
    engine.memoryMb - engine.usedMemoryMb >= demand.memoryMb
  );
  const rank = (engine: EngineView): number =>
    engine.loadShare + (placesWithVersion.has(engine.place) ? 1 : 0);
  free.sort((a, b) => rank(a) - rank(b) || (a.server < b.server ? -1 : 1));
  return free[0];
}

/** Size, rates and prices of moving a session's KV cache to another engine. */
export interface CacheMove {
  readonly sizeBytes: number;
  readonly tokenCount: number;
  readonly bytesPerMs: number;
  readonly prefillTokensPerMs: number;
  readonly egressMicroEurPerMb: number;
  /** Price of a millisecond of delay. */
  readonly microEurPerMs: number;
}

const BYTES_PER_MB = 1_000_000;

/** Whether moving a cache costs less than repeating the prefill. */
export function isCacheMoveCheaper(move: CacheMove): boolean {
  const moveMs = 2 * move.sizeBytes / move.bytesPerMs;
  const egress = move.egressMicroEurPerMb * move.sizeBytes / BYTES_PER_MB;
  const prefillMs = move.tokenCount / move.prefillTokensPerMs;
  return egress + moveMs * move.microEurPerMs < prefillMs * move.microEurPerMs;
}

/** Load and slots of one place, for a gradual drain. */
export interface PlaceCapacity {
  readonly place: string;
  readonly workCount: number;
  readonly slotCount: number;
}

/** Returns the share of a place's work that the other places can take now. */
export function drainableShare(
  place: string,
  capacities: readonly PlaceCapacity[],
): number {
  let freeCount = 0;
  let workCount = 0;
  for (const capacity of capacities) {
    if (capacity.place === place) workCount += capacity.workCount;
    else freeCount += Math.max(0, capacity.slotCount - capacity.workCount);
  }
  return workCount === 0 ? 1 : Math.min(1, freeCount / workCount);
}
