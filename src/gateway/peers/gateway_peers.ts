/** The node that connects a gateway to the other VMs, and place latencies. */
import {
  cachedByMembers,
  knownVms,
  type LimitedVms,
  limitedVms,
  type MembershipState,
  type MemberUpdate,
  presentMembers,
} from "../../decision/mod.ts";
import {
  type BackendServer,
  noMetrics,
  rendezvous,
  type ServiceTraits,
  splitAddress,
} from "../../model/mod.ts";
import {
  createPeerNode,
  NO_BILLS,
  NO_RECORDS,
  type PeerNode,
} from "../../wire/mod.ts";
import { type BackendFleet } from "../servers/backend_fleet.ts";
import { ColdServers } from "../servers/cold_servers.ts";
import { connects } from "../servers/connect_probe.ts";
import { Evacuations } from "../servers/evacuations.ts";
import { type GatewayOptions } from "../gateway_options.ts";
import { type GatewaySettings } from "../gateway_settings.ts";
import { type PeerExchange } from "./peer_exchange.ts";
import { PromptQuarantine } from "../prompts/prompt_quarantine.ts";
import { ServerBrittleness } from "../servers/server_brittleness.ts";
import { ServerLimits } from "../servers/server_limits.ts";
import { ReachWatch } from "../servers/reach_watch.ts";
import { ServerStatements } from "../servers/server_statements.ts";
import { SlowStarts } from "../servers/slow_starts.ts";
import { VmRelays } from "../forwarding/vm_relays.ts";

const PROBE_PERIOD_MS = 500;
/** A VM that leaves a probe unanswered for longer is suspected by others. */
export const ALLOWED_SILENCE_MS = PROBE_PERIOD_MS;
/** Added latency of another data centre of the same region. */
const SAME_REGION_MS = 8;
/** Added latency of a data centre of another region. */
const OTHER_REGION_MS = 80;

/** Creates the peer node of a VM; it is idle until started. */
export function createGatewayPeers(
  options: GatewayOptions,
  { exchange, moreSeeds }: {
    readonly exchange: PeerExchange;
    readonly moreSeeds: () => readonly string[];
  },
): PeerNode {
  const { settings, clock, random, sleep, logger } = options;
  const { host, port } = splitAddress(settings.peerAddress);
  return createPeerNode({
    vm: settings.vm,
    place: settings.place,
    address: "",
    listenHost: host,
    listenPort: port,
    deployment: "gateway",
    sharedKey: "gateway",
    seeds: settings.seeds,
    moreSeeds,
    membership: { periodMs: PROBE_PERIOD_MS, directTimeoutMs: 200 },
    records: NO_RECORDS,
    bills: NO_BILLS,
    exchange: (vm, update) => exchange.answer(vm, update),
    clock,
    random,
    sleep,
    logger,
    metrics: noMetrics,
  });
}

/** Returns the other VMs that take requests. */
function aliveMembers(state: MembershipState): MemberUpdate[] {
  return presentMembers(state).map(({ update }) => update)
    .filter(({ status }) => status === "alive");
}

/** Returns a function to the VMs among which is divided what all may use. */
export function createVmDivision(
  { settings, clock }: GatewayOptions,
  membership: () => MembershipState,
): () => LimitedVms {
  const startedAtMs = clock();
  const known = cachedByMembers(knownVms);
  return () => ({
    self: settings,
    others: limitedVms(membership(), {
      hasSeeds: settings.seeds.some((seed) => seed !== settings.peerAddress),
      ageMs: clock() - startedAtMs,
      known,
    }),
  });
}

/** What keeps requests from backend servers. */
export interface ServerGuards {
  readonly limits: ServerLimits;
  readonly cold: ColdServers;
  readonly brittleness: ServerBrittleness;
  readonly statements: ServerStatements;
  readonly slowStarts: SlowStarts;
  readonly evacuations: Evacuations;
  readonly prompts: PromptQuarantine;
}

/**
 * Creates the guards of a VM: limits and permits are divided among the VMs present,
 * and one of them makes the trials of prompts in quarantine for all.
 */
export function createServerGuards(
  { settings, clock, logger }: GatewayOptions,
  { membership, vms, fleet, traitsOf }: {
    readonly membership: () => MembershipState;
    readonly vms: () => LimitedVms;
    readonly fleet: BackendFleet;
    readonly traitsOf: (service: string) => ServiceTraits | undefined;
  },
): ServerGuards {
  const otherVms = (): MemberUpdate[] => aliveMembers(membership());
  const isTrialVm = (key: string): boolean => {
    const vms = [settings, ...otherVms()];
    const options = { key, count: 1, nameOf: ({ vm }: { vm: string }) => vm };
    return rendezvous(vms, options)[0]?.vm === settings.vm;
  };
  const brittleness = new ServerBrittleness({
    self: settings,
    otherVms,
    fleet,
    clock,
    logger,
  });
  const evacuations = new Evacuations({
    places: settings.places.map(({ place }) => place),
    clock,
    logger,
  });
  return {
    limits: new ServerLimits({
      vms,
      serverOf: (id) => fleet.serverOf(id),
      clock,
      logger,
    }),
    cold: new ColdServers({
      vms,
      traitsOf,
      bound: settings.coldBound,
      clock,
      logger,
    }),
    brittleness,
    slowStarts: new SlowStarts({
      self: settings,
      otherVms,
      fleet,
      evacuationEndedMsAgo: (place) => evacuations.endedMsAgo(place),
      isBrittle: (service) =>
        brittleness.refusalsPerSecondOf(service) !== undefined,
      clock,
      logger,
    }),
    statements: new ServerStatements({ clock, logger }),
    evacuations,
    prompts: new PromptQuarantine({ isTrialVm, clock, logger }),
  };
}

/** Whether this VM reaches servers, and through whom it does otherwise. */
export interface ServerReachParts {
  readonly reach: ReachWatch;
  readonly relays: VmRelays;
}

/** Creates what serves requests while this VM reaches no server. */
export function createServerReach(
  options: GatewayOptions,
  { fleet, membership }: {
    readonly fleet: BackendFleet;
    readonly membership: () => MembershipState;
  },
): ServerReachParts {
  const servers = (): BackendServer[] => fleet.servers;
  return {
    reach: new ReachWatch({
      ...options,
      servers,
      // What cuts a VM off may reset its connections.
      connects: (address, { timeoutMs }) =>
        connects(address, { timeoutMs, isResetAccepted: false }),
    }),
    relays: new VmRelays({ ...options, ...options.settings, membership }),
  };
}

/** Returns a function from a place to its added latency in milliseconds. */
export function createDistanceLookup(
  settings: GatewaySettings,
): (place: string) => number {
  const regions = new Map(
    settings.places.map(({ place, region }) => [place, region]),
  );
  const ownRegion = regions.get(settings.place);
  return (place) => {
    if (place === settings.place) return 0;
    return regions.get(place) === ownRegion ? SAME_REGION_MS : OTHER_REGION_MS;
  };
}
