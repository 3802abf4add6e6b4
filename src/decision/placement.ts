/**
 * Which versions the engines should hold. Orders are declarative, so repeating
 * one changes nothing, and each plan starts from what the engines report, so
 * that an order whose reply was lost is seen as done. A version in use keeps at
 * least one serving engine; a version that no path may use is unloaded once
 * its running answers have had time to finish; a version short of engines is loaded where memory and load allow, a few at a
 * time, since the weight store is slow.
 */
import { type VersionName } from "../model/mod.ts";

/** What one engine reports. */
export interface EngineView {
  readonly server: string;
  readonly place: string;
  readonly loaded: readonly VersionName[];
  readonly loading: readonly VersionName[];
  readonly memoryMb: number;
  readonly usedMemoryMb: number;
  /** Running and queued requests by slot. */
  readonly loadShare: number;
  readonly isServing: boolean;
}

/** What is wanted of one version. */
export interface VersionDemand {
  readonly version: VersionName;
  readonly memoryMb: number;
  /** Whether any path of the tree may use it. */
  readonly isUsable: boolean;
  /** Whether the longest request begun while it was usable has ended. */
  readonly isIdle: boolean;
}

/** One order to an engine. */
export interface PlacementOrder {
  readonly kind: "load" | "unload";
  readonly server: string;
  readonly version: VersionName;
}

/** What a plan is made from. */
export interface PlacementInput {
  readonly engines: readonly EngineView[];
  readonly demands: readonly VersionDemand[];
  /** Loads that the weight store can carry at a time. */
  readonly maxLoading: number;
}

/** Engines that each version in use should have at the least. */
export const MIN_ENGINES = 2;
/** Load of a version's engines above which it gets one more. */
export const HIGH_LOAD_SHARE = 0.8;

/** The orders that bring the engines nearer to what is wanted. */
export function planPlacement(input: PlacementInput): PlacementOrder[] {
  const orders: PlacementOrder[] = [];
  let loadingCount = 0;
  for (const engine of input.engines) loadingCount += engine.loading.length;
  for (const demand of input.demands) {
    if (!demand.isUsable) {
      if (demand.isIdle) orders.push(...unloadsOf(demand, input.engines));
      continue;
    }
    if (loadingCount >= input.maxLoading) continue;
    if (!isShort(demand, input.engines)) continue;
    const target = roomiest(demand, { engines: input.engines, orders });
    if (target === undefined) continue;
    loadingCount += 1;
    const { server } = target;
    orders.push({ kind: "load", server, version: demand.version });
  }
  return orders;
}

/**
 * Whether an unload would take the last serving engine of a version in use.
 * Asked again just before the order with the newest reports.
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

function unloadsOf(
  demand: VersionDemand,
  engines: readonly EngineView[],
): PlacementOrder[] {
  const { version } = demand;
  return engines
    .filter((engine) => engine.loaded.includes(version))
    .map(({ server }) => ({ kind: "unload", server, version }));
}

function isShort(
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

/** The least loaded engine with room, in a place without it if there is one. */
function roomiest(
  demand: VersionDemand,
  options: {
    readonly engines: readonly EngineView[];
    readonly orders: readonly PlacementOrder[];
  },
): EngineView | undefined {
  const { engines, orders } = options;
  const placesWithIt = new Set(
    engines.filter((engine) => engine.loaded.includes(demand.version))
      .map((engine) => engine.place),
  );
  const free = engines.filter((engine) =>
    engine.isServing && !engine.loaded.includes(demand.version) &&
    !orders.some((order) => order.server === engine.server) &&
    engine.memoryMb - engine.usedMemoryMb >= demand.memoryMb
  );
  const rank = (engine: EngineView): number =>
    engine.loadShare + (placesWithIt.has(engine.place) ? 1 : 0);
  free.sort((a, b) => rank(a) - rank(b) || (a.server < b.server ? -1 : 1));
  return free[0];
}

/** What a move of a session's KV cache to another engine would cost. */
export interface CacheMove {
  readonly sizeBytes: number;
  readonly tokenCount: number;
  readonly bytesPerMs: number;
  readonly prefillTokensPerMs: number;
  readonly egressMicroEurPerMb: number;
  /** Worth of a millisecond of delay. */
  readonly microEurPerMs: number;
}

const BYTES_PER_MB = 1_000_000;

/** Whether moving a cache costs less than computing the prefix again. */
export function isCacheMoveCheaper(move: CacheMove): boolean {
  const moveMs = 2 * move.sizeBytes / move.bytesPerMs;
  const egress = move.egressMicroEurPerMb * move.sizeBytes / BYTES_PER_MB;
  const prefillMs = move.tokenCount / move.prefillTokensPerMs;
  return egress + moveMs * move.microEurPerMs < prefillMs * move.microEurPerMs;
}

/** Load of one place, for a drain by steps. */
export interface PlaceCapacity {
  readonly place: string;
  readonly workCount: number;
  readonly slotCount: number;
}

/** The share of a place's work that the other places can take now. */
export function drainableShare(
  place: string,
  rooms: readonly PlaceCapacity[],
): number {
  let roomCount = 0;
  let workCount = 0;
  for (const room of rooms) {
    if (room.place === place) workCount += room.workCount;
    else roomCount += Math.max(0, room.slotCount - room.workCount);
  }
  return workCount === 0 ? 1 : Math.min(1, roomCount / workCount);
}
