/**
 * Sends load and unload orders to the engines. One process at a time does so,
 * under a lease whose fencing number is part of each order. The lease is
 * checked again after each wait and just before each order. For engines that do
 * not check the fencing number, a new holder waits until the previous holder's
 * orders have timed out. Every plan is made from the engines' current reports,
 * so the effects of a previous holder's late order or of a lost reply are
 * corrected.
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

/** Options of the fleet controller. */
export interface FleetControllerOptions {
  readonly journal: Journal;
  readonly clock: Clock;
  readonly lease: LeaseKeeper;
  readonly engines: EngineControl;
  readonly vms: () => readonly Vm[];
  /** Memory of a version from the weight store, if it answers. */
  readonly sizeMbOf: (version: VersionName) => Promise<number | undefined>;
  readonly periodMs: number;
  /** Maximum time that an order can be in flight. */
  readonly orderTimeoutMs: number;
  readonly maxLoading: number;
}

/** The number of engines whose reports are requested at a time. */
const MAX_CONCURRENT_REPORTS = 16;

/** Creates the controller that sends orders to the engines. */
export function createFleetController(
  options: FleetControllerOptions,
): Controller {
  const { journal, lease, engines, periodMs } = options;
  let unusableSinceMs: ReadonlyMap<VersionName, number> = new Map();

  async function run(context: ControllerContext): Promise<void> {
    if (!await lease.acquireOrRenew()) return;
    if (lease.heldForMs < options.orderTimeoutMs) return;
    const input = await collectInput();
    const addresses = addressesOf(options.vms());
    for (const order of planPlacement(input)) {
      const address = addresses.get(order.server);
      if (address === undefined || context.signal.aborted) continue;
      if (!isStillAllowed(order, input)) continue;
      if (!await sendOrder(order, { address, context })) return;
    }
  }

  /** Collects the engines' reports and the settings tree's demands. */
  async function collectInput(): Promise<PlacementInput> {
    const rows = options.vms().filter((vm) => vm.kind === "engine");
    const root = journal.control().tree.resolve(ROOT_PATH).values;
    const views: EngineView[] = [];
    for (let start = 0; start < rows.length; start += MAX_CONCURRENT_REPORTS) {
      const batch = rows.slice(start, start + MAX_CONCURRENT_REPORTS);
      const reports = await Promise.all(
        batch.map((vm) => engines.report(vm.address)),
      );
      for (const [index, vm] of batch.entries()) {
        const report = reports[index];
        if (report !== undefined) views.push(viewOf(vm, { report, root }));
      }
    }
    const demands = await collectDemands(views);
    return { engines: views, demands, maxLoading: options.maxLoading };
  }

  async function collectDemands(
    views: readonly EngineView[],
  ): Promise<VersionDemand[]> {
    const { tree } = journal.control();
    const nowMs = options.clock();
    const nextUnusableSinceMs = new Map<VersionName, number>();
    const demands: VersionDemand[] = [];
    for (const version of versionsOf(tree, views)) {
      const isUsable = isUsableAnywhere(tree, version);
      const sinceMs = unusableSinceMs.get(version) ?? nowMs;
      if (!isUsable) nextUnusableSinceMs.set(version, sinceMs);
      const isIdle = !isUsable && nowMs - sinceMs >= longestDeadlineMs(tree);
      const catalogueMemoryMb = catalogueMemoryMbOf(tree, version);
      const memoryMb = catalogueMemoryMb ?? await options.sizeMbOf(version) ??
        Infinity;
      demands.push({ version, memoryMb, isUsable, isIdle });
    }
    unusableSinceMs = nextUnusableSinceMs;
    return demands;
  }

  /** Checks an order again, since the tree may have changed after planning. */
  function isStillAllowed(
    order: PlacementOrder,
    input: PlacementInput,
  ): boolean {
    const { tree } = journal.control();
    const isAllowed = isUsableAnywhere(tree, order.version);
    if (order.kind === "load") return isAllowed;
    const { version } = order;
    const demand = {
      version,
      memoryMb: 0,
      isUsable: isAllowed,
      isIdle: !isAllowed,
    };
    return !isLastOfVersion(order, { ...input, demands: [demand] });
  }

  /** Sends one order; returns `false` when the lease is no longer valid. */
  async function sendOrder(
    order: PlacementOrder,
    target: { readonly address: string; readonly context: ControllerContext },
  ): Promise<boolean> {
    const { fence } = lease;
    if (fence === undefined) return false;
    const orderId = `${order.kind}-${order.server}-${order.version}-${fence}`;
    const { kind, version } = order;
    const sent = await engines.order(target.address, {
      orderId,
      fence,
      kind,
      version,
    });
    const fault = sent.isErr() ? sent.error.fault : "none";
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
  const versionsInState = (state: "loaded" | "loading"): VersionName[] =>
    report.versions.filter((item) => item.state === state)
      .map((item) => item.version);
  const isDrained = root.drainedServers.includes(vm.vm) ||
    root.drainedPlaces.includes(vm.place);
  return {
    server: vm.vm,
    place: vm.place,
    loaded: versionsInState("loaded"),
    loading: versionsInState("loading"),
    memoryMb: report.memoryMb,
    usedMemoryMb: report.usedMemoryMb,
    loadShare: (report.runningCount + report.queuedCount) /
      Math.max(1, report.slotCount),
    isServing: !report.isLeaving && vm.status === "live" && !isDrained,
  };
}

/** Versions that the tree allows at any path or an engine has loaded. */
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
