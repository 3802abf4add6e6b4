/**
 * Orders to the engines. One process at a time gives them, under a lease whose
 * fencing number goes with each order. The lease is asked again after each wait
 * and just before each order. After a take-over a quiet period lets the orders
 * of the holder before run out, for the engines that do not check the number;
 * then every plan starts from what the engines report, so that whatever an
 * earlier holder's late order or a lost reply left behind is put right.
 */
import {
  type EngineView,
  isLastOfVersion,
  type PlacementInput,
  type PlacementOrder,
  planPlacement,
  type VersionDemand,
} from "../decision/placement.ts";
import {
  type Clock,
  isUsable,
  ROOT_PATH,
  type Settings,
  type SettingsTree,
  type VersionName,
  type Vm,
} from "../model/mod.ts";
import { type EngineControl } from "../client/engine_orders.ts";
import { type Journal } from "../client/journal.ts";
import { type ServerReport } from "../client/load_report.ts";
import { type Controller, type ControllerContext } from "./controller_set.ts";
import { type LeaseKeeper } from "./lease_keeper.ts";

/** What the controller works with. */
export interface FleetControllerOptions {
  readonly journal: Journal;
  readonly clock: Clock;
  readonly lease: LeaseKeeper;
  readonly engines: EngineControl;
  readonly vms: () => readonly Vm[];
  /** Memory of a version by the weight store, where it answers. */
  readonly sizeMbOf: (version: VersionName) => Promise<number | undefined>;
  readonly periodMs: number;
  /** Longest time that an order can be under way. */
  readonly orderTimeoutMs: number;
  readonly maxLoading: number;
}

/** Reports are asked for from this many engines at a time. */
const MAX_CONCURRENT_REPORTS = 16;

/** Creates the controller of the engines. */
export function createFleetController(
  options: FleetControllerOptions,
): Controller {
  const { journal, lease, engines, periodMs } = options;
  let unusableSince: ReadonlyMap<VersionName, number> = new Map();

  async function run(context: ControllerContext): Promise<void> {
    if (!await lease.acquireOrRenew()) return;
    if (lease.heldForMs < options.orderTimeoutMs) return;
    const input = await look();
    const addresses = addressesOf(options.vms());
    for (const order of planPlacement(input)) {
      const address = addresses.get(order.server);
      if (address === undefined || context.signal.aborted) continue;
      if (!mayGive(order, input)) continue;
      if (!await give(order, { address, context })) return;
    }
  }

  /** What the engines report and the tree wants now. */
  async function look(): Promise<PlacementInput> {
    const rows = options.vms().filter((vm) => vm.kind === "engine");
    const root = journal.control().tree.resolve(ROOT_PATH).values;
    const views: EngineView[] = [];
    for (let start = 0; start < rows.length; start += MAX_CONCURRENT_REPORTS) {
      const some = rows.slice(start, start + MAX_CONCURRENT_REPORTS);
      const reports = await Promise.all(
        some.map((vm) => engines.report(vm.address)),
      );
      for (const [index, vm] of some.entries()) {
        const report = reports[index];
        if (report !== undefined) views.push(viewOf(vm, { report, root }));
      }
    }
    const demands = await demandsNow(views);
    return { engines: views, demands, maxLoading: options.maxLoading };
  }

  async function demandsNow(
    views: readonly EngineView[],
  ): Promise<VersionDemand[]> {
    const { tree } = journal.control();
    const nowMs = options.clock();
    const since = new Map<VersionName, number>();
    const demands: VersionDemand[] = [];
    for (const version of versionsOf(tree, views)) {
      const isUsable = isUsableAnywhere(tree, version);
      const sinceMs = unusableSince.get(version) ?? nowMs;
      if (!isUsable) since.set(version, sinceMs);
      const isIdle = !isUsable && nowMs - sinceMs >= longestDeadlineMs(tree);
      const known = catalogueMemoryMbOf(tree, version);
      const memoryMb = known ?? await options.sizeMbOf(version) ?? Infinity;
      demands.push({ version, memoryMb, isUsable, isIdle });
    }
    unusableSince = since;
    return demands;
  }

  /** Checked against the newest tree, since the plan was made before waits. */
  function mayGive(order: PlacementOrder, input: PlacementInput): boolean {
    const { tree } = journal.control();
    const usable = isUsableAnywhere(tree, order.version);
    if (order.kind === "load") return usable;
    const { version } = order;
    const demand = { version, memoryMb: 0, isUsable: usable, isIdle: !usable };
    return !isLastOfVersion(order, { ...input, demands: [demand] });
  }

  /** Gives one order; `false` when the lease no longer stands. */
  async function give(
    order: PlacementOrder,
    target: { readonly address: string; readonly context: ControllerContext },
  ): Promise<boolean> {
    const { fence } = lease;
    if (fence === undefined) return false;
    const orderId = `${order.kind}-${order.server}-${order.version}-${fence}`;
    const { kind, version } = order;
    const given = await engines.order(target.address, {
      orderId,
      fence,
      kind,
      version,
    });
    const fault = given.isErr() ? given.error.fault : "none";
    target.context.logger.info("engine order", { orderId, fault });
    target.context.metrics.count("fleet.order", 1, { kind, fault });
    return fault !== "stale_fence" && lease.isValid();
  }

  return {
    name: "fleet",
    periodMs,
    run,
    stop: () => lease.release(),
  };
}

function addressesOf(vms: readonly Vm[]): Map<string, string> {
  return new Map(vms.map((vm) => [vm.vm, vm.address]));
}

function viewOf(
  vm: Vm,
  options: { readonly report: ServerReport; readonly root: Settings },
): EngineView {
  const { report, root } = options;
  const inState = (state: "loaded" | "loading"): VersionName[] =>
    report.versions.filter((item) => item.state === state)
      .map((item) => item.version);
  const isDrained = root.drainedServers.includes(vm.vm) ||
    root.drainedPlaces.includes(vm.place);
  return {
    server: vm.vm,
    place: vm.place,
    loaded: inState("loaded"),
    loading: inState("loading"),
    memoryMb: report.memoryMb,
    usedMemoryMb: report.usedMemoryMb,
    loadShare: (report.runningCount + report.queuedCount) /
      Math.max(1, report.slotCount),
    isServing: !report.isLeaving && vm.status === "live" && !isDrained,
  };
}

/** Versions that the tree allows somewhere or an engine holds. */
function versionsOf(
  tree: SettingsTree,
  engines: readonly EngineView[],
): VersionName[] {
  const versions = new Set<VersionName>();
  for (const path of tree.paths()) {
    for (const version of tree.nodeAt(path).allowed ?? []) {
      versions.add(version);
    }
  }
  for (const engine of engines) {
    for (const version of engine.loaded) versions.add(version);
  }
  return [...versions].sort();
}

function isUsableAnywhere(tree: SettingsTree, version: VersionName): boolean {
  return tree.paths().some((path) =>
    isUsable(tree.resolve(path).values, version)
  );
}

function longestDeadlineMs(tree: SettingsTree): number {
  let longestMs = 0;
  for (const path of [ROOT_PATH, ...tree.paths()]) {
    const { deadlinesMs } = tree.resolve(path).values;
    longestMs = Math.max(longestMs, ...Object.values(deadlinesMs));
  }
  return longestMs;
}

function catalogueMemoryMbOf(
  tree: SettingsTree,
  version: VersionName,
): number | undefined {
  const { catalogue } = tree.resolve(ROOT_PATH).values;
  return catalogue.find((entry) => entry.version === version)?.memoryMb;
}
