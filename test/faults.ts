/**
 * Named faults of a cluster, shared by the tests, the measurements and the
 * soak. Applying a fault returns a function that ends it.
 */
import { type Cluster } from "./cluster.ts";
import { type ClusterVm } from "./cluster_vm.ts";
import { type FaultProxy } from "./proxy.ts";

/** The names of all faults. */
export const FAULT_NAMES = [
  "none",
  "log_down",
  "log_slow",
  "append_reply_lost",
  "engine_silent",
  "engine_reset",
  "frames_crossed",
  "frames_repeated",
  "connections_silent",
  "service_dies",
  "vm_killed",
  "vm_paused",
  "region_parted",
  "peers_parted",
  "callers_cut",
  "bad_version",
  "pool_out",
  "server_leaves",
] as const;

export type FaultName = (typeof FAULT_NAMES)[number];

/** Ends a fault. */
export type Heal = () => void | Promise<void>;

const FAULTY_STREAM_COUNT = 1_000_000;
const LOST_REPLY_SHARE = 0.3;
const LOG_DELAY_MS = 400;
const BAD_QUALITY_SHARE = 0.3;
const DYING_CALL_COUNT = 5;

/** Injects a fault and returns the function that ends it. */
export async function applyFault(
  cluster: Cluster,
  name: FaultName,
): Promise<Heal> {
  const { site } = cluster;
  switch (name) {
    case "none":
      return () => {};
    case "log_down":
      site.log.switches.isDown = true;
      return () => {
        site.log.switches.isDown = false;
      };
    case "log_slow":
      site.log.switches.delayMs = LOG_DELAY_MS;
      return () => {
        site.log.switches.delayMs = 0;
      };
    case "append_reply_lost":
      site.log.switches.lostReplyShare = LOST_REPLY_SHARE;
      return () => {
        site.log.switches.lostReplyShare = 0;
      };
    case "engine_silent":
      return faultStreams(cluster, { kind: "silent", engineNth: 2 });
    case "engine_reset":
      return faultStreams(cluster, { kind: "reset", engineNth: 2 });
    case "frames_crossed":
      return faultStreams(cluster, {
        kind: "crossed",
        streamNth: 3,
      });
    case "frames_repeated":
      return faultStreams(cluster, { kind: "repeated" });
    case "connections_silent":
      for (const link of allLinks(cluster)) link.silenceOpen();
      return () => {};
    case "service_dies":
      for (const service of site.services) {
        service.switches.diesAfterEffectCount = DYING_CALL_COUNT;
      }
      return () => {
        for (const service of site.services) {
          service.switches.diesAfterEffectCount = 0;
        }
      };
    case "vm_killed":
      return await killFirst(cluster);
    case "vm_paused":
      return pauseFirst(cluster);
    case "region_parted":
      return silence(linksAcross(cluster));
    case "peers_parted":
      return silence(cluster.peerLinks());
    case "callers_cut":
      return cutCallers(cluster);
    case "bad_version":
      return degradeVersion(cluster);
    case "pool_out":
      return stopEngines(cluster);
    case "server_leaves":
      site.markLeaving(site.engines[0]?.server ?? "");
      return () => {};
  }
}

/**
 * Returns the version whose quality `bad_version` lowers: the newest of the
 * middle model.
 */
export function degradedVersion(cluster: Cluster): string {
  return Object.keys(cluster.site.plan.qualityShares)[2] ?? "";
}

interface StreamFaultOptions {
  readonly kind: "silent" | "reset" | "crossed" | "repeated";
  /** Every n-th engine has the fault; default 1. */
  readonly engineNth?: number;
  /** Every n-th stream of such an engine has the fault; default 1. */
  readonly streamNth?: number;
}

function faultStreams(cluster: Cluster, options: StreamFaultOptions): Heal {
  const faulty = cluster.site.engines
    .filter((_, index) => index % (options.engineNth ?? 1) === 0);
  for (const [index, engine] of faulty.entries()) {
    engine.switches.streamFault = {
      kind: options.kind,
      afterTokens: 1 + index % 3,
      count: FAULTY_STREAM_COUNT,
      everyNth: options.streamNth ?? 1,
    };
  }
  return () => {
    for (const engine of faulty) engine.switches.streamFault = undefined;
  };
}

async function killFirst(cluster: Cluster): Promise<Heal> {
  const victim = firstVm(cluster);
  await cluster.killVm(victim.name);
  return async () => {
    const vm = await cluster.startVm(`${victim.name}-next`, victim.place);
    await cluster.waitReady(vm);
  };
}

function pauseFirst(cluster: Cluster): Heal {
  const victim = firstVm(cluster);
  victim.entry.signal("SIGSTOP");
  victim.controller?.signal("SIGSTOP");
  return () => {
    victim.entry.signal("SIGCONT");
    victim.controller?.signal("SIGCONT");
  };
}

function firstVm(cluster: Cluster): ClusterVm {
  const vm = cluster.live()[0];
  if (vm === undefined) throw new Error("no VM is running");
  return vm;
}

function allLinks(cluster: Cluster): FaultProxy[] {
  const logLinks = [...cluster.vms.values()].map((vm) => vm.logLink);
  return [
    ...cluster.site.links.values(),
    ...cluster.peerLinks(),
    ...logLinks,
  ];
}

/** Returns the links between the last place and the others or the log. */
function linksAcross(cluster: Cluster): FaultProxy[] {
  const { site } = cluster;
  const partitionedPlace = site.plan.places.at(-1)?.place ?? "";
  const links: FaultProxy[] = [];
  for (const [name, link] of site.links) {
    const [from = "", server = ""] = name.split(">");
    if (
      (from === partitionedPlace) !==
        (site.placeOf(server) === partitionedPlace)
    ) {
      links.push(link);
    }
  }
  for (const vm of cluster.vms.values()) {
    if (vm.place === partitionedPlace) links.push(vm.logLink);
    for (const { place } of site.plan.places) {
      const isAcross =
        (place === partitionedPlace) !== (vm.place === partitionedPlace);
      if (isAcross) links.push(cluster.peerLink(place, vm.name));
    }
  }
  return links;
}

function silence(links: readonly FaultProxy[]): Heal {
  for (const link of links) {
    link.switches.silent = ["up", "down"];
    link.silenceOpen();
  }
  return () => {
    for (const link of links) link.heal();
  };
}

function cutCallers(cluster: Cluster): Heal {
  const links = [...cluster.vms.values()].slice(0, 2)
    .map((vm) => vm.callerLink);
  for (const link of links) link.cut();
  return () => {
    for (const link of links) link.heal();
  };
}

function degradeVersion(cluster: Cluster): Heal {
  const version = degradedVersion(cluster);
  const { qualityShares } = cluster.site.rating.switches;
  const before = qualityShares[version] ?? 1;
  qualityShares[version] = BAD_QUALITY_SHARE;
  for (const engine of cluster.site.engines) {
    engine.switches.badVersions = [version];
  }
  return () => {
    qualityShares[version] = before;
    for (const engine of cluster.site.engines) {
      engine.switches.badVersions = [];
    }
  };
}

function stopEngines(cluster: Cluster): Heal {
  const engines = cluster.site.engines.filter((_, index) => index % 2 === 0);
  for (const engine of engines) engine.switches.isDown = true;
  return () => {
    for (const engine of engines) engine.switches.isDown = false;
  };
}
